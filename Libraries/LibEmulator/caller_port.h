#ifndef LIBEMULATOR_CALLER_PORT_H_
#define LIBEMULATOR_CALLER_PORT_H_

#include <functional>
#include <memory>
#include <string>

#include "LibGateway/caller_channel.h"
#include "LibStatement/caller_statement.h"

namespace kingcupmill {

// A caller's session at some proxy. Destroying it closes the session.
class CallerPort {
 public:
  virtual ~CallerPort() = default;

  // Sends a statement; its answer comes through the channel.
  virtual void Send(CallerStatement statement) = 0;

  // Whether the session may still answer.
  virtual bool is_open() const = 0;
};

// Opens a session on a database, or returns null. The channel outlives it.
using OpenCallerPort =
    std::function<std::unique_ptr<CallerPort>(CallerChannel&,
                                              const std::string&)>;

}  // namespace kingcupmill

#endif  // LIBEMULATOR_CALLER_PORT_H_
