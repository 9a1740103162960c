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

// Callbacks for the events of a LineConnection, run on its event loop.
struct LineHandlers {
  // An outgoing connection was established.
  std::function<void()> did_connect;
  // A line was received; its CR LF is removed.
  std::function<void(std::string_view)> did_receive_line;
  // A line is longer than kMaximumLineBytes. Nothing more is read, but data can
  // still be sent. Without this handler, the connection is closed.
  std::function<void()> did_overflow;
  // Bytes were received or sent, so that what the connection holds has changed.
  // Called after the lines that they complete.
  std::function<void()> did_move_bytes;
  // The connection could not be opened, the peer closed it, it failed, or the
  // peer does not read what is sent. No handler is called afterwards.
  std::function<void()> did_close;
};

// One TCP connection that carries lines terminated by CR LF. All members are
// used on the thread of its event loop.
class LineConnection : public std::enable_shared_from_this<LineConnection> {
 public:
  // The longest line that is accepted, including its CR LF.
  static constexpr size_t kMaximumLineBytes = (1U << 20U) + 2;

  // Starts to connect to `address` ("IP:port"). An address that cannot be
  // parsed is reported through did_close.
  static std::shared_ptr<LineConnection> Connect(EventLoop& loop,
                                                 const std::string& address,
                                                 LineHandlers handlers);

  ~LineConnection();
  LineConnection(const LineConnection&) = delete;
  LineConnection& operator=(const LineConnection&) = delete;

  // Queues `bytes`, whole lines with their CR LF, to be sent unchanged. Does
  // nothing after the connection was closed.
  void Send(std::string_view bytes);

  // Stops passing lines to the handler and reading, until ResumeReading(). The
  // peer is then held back by TCP's flow control.
  void PauseReading();
  void ResumeReading();
  bool is_reading_paused() const;

  // The bytes received after the last line that the handler was given.
  size_t received_bytes() const;
  // The bytes that the system has not taken for sending.
  size_t unsent_bytes() const;
  // The memory that the connection's buffers take.
  size_t held_bytes() const;

  // Closes the connection once all queued data is written, at the latest after
  // some seconds. Nothing more is read and no handler is called afterwards.
  void Close();

  // Closes the connection immediately and drops queued data. No handler is
  // called afterwards.
  void Abort();

 private:
  friend class LineListener;
  struct State;
  explicit LineConnection(std::unique_ptr<State> state);

  void Start();
  void Read();
  void DidRead(size_t count);
  // Passes on the received lines and reads again unless reading is paused.
  void Continue();
  // Passes the received lines to the handler. Returns false if it closed the
  // connection.
  bool ProcessLines();
  void Write();
  void WriteSome();
  void DidWrite(size_t count);
  void Fail();

  std::unique_ptr<State> state;
};

// Accepts LineConnections.
class LineListener {
 public:
  using DidAccept = std::function<void(std::shared_ptr<LineConnection>)>;
  // Called when a connection could not be accepted, such as when the process is
  // out of file descriptors. Another attempt follows.
  using DidFailToAccept = std::function<void()>;

  // Starts to listen on `address` ("IP:port"). Fails with kInvalidInput if the
  // address cannot be parsed and with kUnavailable if it is taken. `did_accept`
  // sets the handlers of the new connection with SetHandlers().
  static Result<std::unique_ptr<LineListener>> Create(
      EventLoop& loop,
      const std::string& address,
      DidAccept did_accept,
      DidFailToAccept did_fail_to_accept = nullptr);
  ~LineListener();
  LineListener(const LineListener&) = delete;
  LineListener& operator=(const LineListener&) = delete;

  // Called from `did_accept`, before the connection starts to read.
  static void SetHandlers(LineConnection& connection, LineHandlers handlers);

  // Stops accepting; accepted connections stay open.
  void Stop();

 private:
  struct State;
  explicit LineListener(std::shared_ptr<State> state);
  static void Accept(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state;
};

}  // namespace kingcupmill

#endif  // LIBWIRE_LINE_CONNECTION_H_
