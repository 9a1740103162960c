#ifndef LIBTARGET_TARGET_CONNECTOR_H_
#define LIBTARGET_TARGET_CONNECTOR_H_

#include <functional>
#include <memory>

#include "LibCore/names.h"
#include "LibTarget/target_request.h"
#include "LibTarget/target_response.h"

namespace kingcupmill {

// A connection to a target that is open or being opened.
class TargetConnection {
 public:
  virtual ~TargetConnection() = default;
  virtual void Send(const TargetRequest& request) = 0;
  // Closes the connection; no handler is called afterwards.
  virtual void Close() = 0;
};

// Callbacks for the events of a connection.
struct TargetConnectionHandlers {
  std::function<void()> did_open;
  std::function<void(TargetResponse)> did_receive;
  // Also called when the connection could not be opened.
  std::function<void()> did_close;
};

// Opens connections to targets.
class TargetConnector {
 public:
  virtual ~TargetConnector() = default;
  virtual std::shared_ptr<TargetConnection> Connect(
      const TargetName& target,
      TargetConnectionHandlers handlers) = 0;
};

}  // namespace kingcupmill

#endif  // LIBTARGET_TARGET_CONNECTOR_H_
