#ifndef LIBWIRE_LINE_CONNECTION_H_
#define LIBWIRE_LINE_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibCore/time.h"

namespace kingcupmill {

class EventLoop;

// What the owner of a LineConnection is told.
struct LineHandlers {
  // An outgoing connection is established.
  std::function<void()> did_connect;
  // One line without its end.
  std::function<void(std::string_view)> did_receive_line;
  // A line is longer than accepted; the connection may still be written to, and
  // reads no more.
  std::function<void()> did_overflow;
  // The other end closed, the connection broke, or the other end does not
  // read. The last event.
  std::function<void()> did_close;
};

// One TCP connection that carries lines ended by CR LF. All members are used on
// the thread of its event loop.
class LineConnection : public std::enable_shared_from_this<LineConnection> {
 public:
  // The longest line that is accepted, with its end.
  static constexpr size_t kMaximumLineBytes = (1U << 20U) + 2;

  // Starts to connect to `address` ("IP:port").
  static std::shared_ptr<LineConnection> Connect(EventLoop& loop,
                                                 const std::string& address,
                                                 LineHandlers handlers);

  ~LineConnection();
  LineConnection(const LineConnection&) = delete;
  LineConnection& operator=(const LineConnection&) = delete;

  // Sends bytes as they are; whole lines, with their ends.
  void Send(std::string_view bytes);

  // Closes after what was sent has been written. No handler is called any more.
  void Close();

  // Closes at once. No handler is called any more.
  void Abort();

 private:
  friend class LineListener;
  struct State;
  explicit LineConnection(std::unique_ptr<State> state);

  void Start();
  void Read();
  void DidRead(size_t count);
  bool TakeLines();
  void Write();
  void Fail();

  std::unique_ptr<State> state;
};

// Accepts LineConnections.
class LineListener {
 public:
  using DidAccept = std::function<void(std::shared_ptr<LineConnection>)>;

  // Starts to listen on `address` ("IP:port"). Fails with kUnavailable when the
  // address is taken. A connection's handlers are set by SetHandlers() while
  // it is being accepted.
  static Result<std::unique_ptr<LineListener>>
  Create(EventLoop& loop, const std::string& address, DidAccept did_accept);
  ~LineListener();
  LineListener(const LineListener&) = delete;
  LineListener& operator=(const LineListener&) = delete;

  static void SetHandlers(LineConnection& connection, LineHandlers handlers);

  // Stops accepting.
  void Stop();

 private:
  struct State;
  explicit LineListener(std::shared_ptr<State> state);
  static void Accept(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state;
};

}  // namespace kingcupmill

#endif  // LIBWIRE_LINE_CONNECTION_H_
