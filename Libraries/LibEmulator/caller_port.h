#ifndef LIBEMULATOR_CALLER_PORT_H_
#define LIBEMULATOR_CALLER_PORT_H_

#include <functional>
#include <memory>
#include <string>

#include "LibGateway/caller_channel.h"
#include "LibStatement/caller_statement.h"

namespace kingcupmill {

// A caller's session at a proxy. Destroying it closes the session.
class CallerPort {
 public:
  virtual ~CallerPort() = default;

  // Sends a statement. Its answer arrives through the channel.
  virtual void Send(CallerStatement statement) = 0;

  // Whether the session can still deliver answers.
  virtual bool is_open() const = 0;
};

// Opens a session on a database, or returns null. The channel must outlive the
// session.
using OpenCallerPort =
    std::function<std::unique_ptr<CallerPort>(CallerChannel&,
                                              const std::string&)>;

}  // namespace kingcupmill

#endif  // LIBEMULATOR_CALLER_PORT_H_
