#include "LibWire/line_connection.h"

#include <spdlog/spdlog.h>

#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "LibWire/event_loop.h"
#include "LibWire/tcp_detail.h"

namespace kingcupmill {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr size_t kReadBytes = 4096;
// The limit on data queued for a peer that does not read: two of the largest
// messages.
constexpr size_t kMaximumUnsentBytes = 4U << 20U;
// Closes a connection whose peer leaves sent data unacknowledged for this long.
// Without it, a connection hangs for minutes after a network partition.
constexpr int kTcpUserTimeoutMs = 2500;
// An idle connection is probed after this time and then at the interval, so
// that connections whose peer is gone do not accumulate.
constexpr int kKeepAliveIdleSeconds = 15;
constexpr int kKeepAliveIntervalSeconds = 3;
// The delay after a failed accept, such as when the process is out of file
// descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};
// How long a connection that is being closed waits for its peer to read.
constexpr std::chrono::seconds kCloseTimeout{3};

// Limits log lines that a peer can cause at will to one a second.
class LogInterval {
 public:
  bool has_passed() {
    const int64_t now = std::chrono::duration_cast<std::chrono::seconds>(
                            MonotonicNow().time_since_epoch())
                            .count();
    return this->logged_at.exchange(now) != now;
  }

 private:
  std::atomic<int64_t> logged_at = -1;
};

void SetOptions(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  SetTcpOption<TCP_USER_TIMEOUT>(socket, kTcpUserTimeoutMs);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  SetTcpOption<TCP_KEEPIDLE>(socket, kKeepAliveIdleSeconds);
  SetTcpOption<TCP_KEEPINTVL>(socket, kKeepAliveIntervalSeconds);
}

}  // namespace

struct LineConnection::State {
  explicit State(tcp::socket socket)
      : socket(std::move(socket)), close_timer(this->socket.get_executor()) {}

  tcp::socket socket;
  boost::asio::steady_timer close_timer;
  LineHandlers handlers;
  std::array<char, kReadBytes> read_buffer{};
  std::string received;
  // The offset in `received` at which the search for a line end resumes.
  size_t search_offset = 0;
  std::string writing;
  // How much of `writing` has been written.
  size_t written = 0;
  std::string unsent;
  bool is_paused = false;
  // Whether neither a read nor a task to continue is pending.
  bool has_stopped_reading = false;
  bool is_connected = false;
  bool is_closing = false;
  bool is_closed = false;
};

LineConnection::LineConnection(std::unique_ptr<State> state)
    : state(std::move(state)) {}

LineConnection::~LineConnection() = default;

std::shared_ptr<LineConnection> LineConnection::Connect(
    EventLoop& loop,
    const std::string& address,
    LineHandlers handlers) {
  std::shared_ptr<LineConnection> connection(
      new LineConnection(std::make_unique<State>(tcp::socket(loop.context()))));
  connection->state->handlers = std::move(handlers);
  tcp::endpoint endpoint;
  if (!ParseEndpoint(address, endpoint)) {
    boost::asio::post(loop.context(), [connection] { connection->Fail(); });
    return connection;
  }
  connection->state->socket.async_connect(
      endpoint, [connection](const error_code& error) {
        if (connection->state->is_closed)
          return;
        if (error)
          return connection->Fail();
        connection->state->is_connected = true;
        SetOptions(connection->state->socket);
        connection->Read();
        connection->Write();
        const auto did_connect = connection->state->handlers.did_connect;
        if (did_connect)
          did_connect();
      });
  return connection;
}

void LineConnection::Start() {
  this->state->is_connected = true;
  SetOptions(this->state->socket);
  this->Read();
}

void LineConnection::Read() {
  this->state->socket.async_read_some(
      boost::asio::buffer(this->state->read_buffer),
      [self = this->shared_from_this()](const error_code& error, size_t count) {
        if (self->state->is_closed)
          return;
        if (error)
          return self->Fail();
        self->DidRead(count);
      });
}

void LineConnection::DidRead(size_t count) {
  this->state->received.append(this->state->read_buffer.data(), count);
  this->Continue();
}

void LineConnection::Continue() {
  if (!this->ProcessLines())
    return;
  const auto did_move_bytes = this->state->handlers.did_move_bytes;
  if (did_move_bytes)
    did_move_bytes();
  if (this->state->is_closed || this->state->is_closing)
    return;
  if (this->state->is_paused) {
    this->state->has_stopped_reading = true;
    return;
  }
  if (this->state->received.size() > kMaximumLineBytes) {
    static LogInterval interval;
    if (interval.has_passed())
      spdlog::warn("event=line_too_long bytes={}",
                   this->state->received.size());
    const auto did_overflow = this->state->handlers.did_overflow;
    return did_overflow ? did_overflow() : this->Fail();
  }
  this->Read();
}

void LineConnection::PauseReading() {
  this->state->is_paused = true;
}

void LineConnection::ResumeReading() {
  this->state->is_paused = false;
  if (!std::exchange(this->state->has_stopped_reading, false))
    return;
  // Resuming is often a consequence of a line that is still being handled.
  boost::asio::post(this->state->socket.get_executor(),
                    [self = this->shared_from_this()] {
                      if (!self->state->is_closed && !self->state->is_closing)
                        self->Continue();
                    });
}

bool LineConnection::is_reading_paused() const {
  return this->state->is_paused;
}

size_t LineConnection::received_bytes() const {
  return this->state->received.size();
}

size_t LineConnection::unsent_bytes() const {
  return this->state->unsent.size() + this->state->writing.size() -
         this->state->written;
}

size_t LineConnection::held_bytes() const {
  return this->state->received.capacity() + this->state->unsent.capacity() +
         this->state->writing.capacity();
}

bool LineConnection::ProcessLines() {
  std::string& received = this->state->received;
  size_t start = 0;
  size_t end = received.find("\r\n", this->state->search_offset);
  while (end != std::string::npos && !this->state->is_paused) {
    // The handler may close this connection, which destroys its handlers.
    const auto did_receive_line = this->state->handlers.did_receive_line;
    if (did_receive_line)
      did_receive_line(std::string_view(received).substr(start, end - start));
    if (this->state->is_closed || this->state->is_closing)
      return false;
    start = end + 2;
    end = received.find("\r\n", start);
  }
  received.erase(0, start);
  if (received.empty() && received.capacity() > 4 * kReadBytes)
    received.shrink_to_fit();
  // While reading is paused, complete lines may remain.
  this->state->search_offset =
      received.empty() || this->state->is_paused ? 0 : received.size() - 1;
  return true;
}

void LineConnection::Send(std::string_view bytes) {
  if (this->state->is_closed || this->state->is_closing)
    return;
  this->state->unsent.append(bytes);
  if (this->state->unsent.size() > kMaximumUnsentBytes) {
    static LogInterval interval;
    if (interval.has_passed())
      spdlog::warn("event=peer_does_not_read bytes={}",
                   this->state->unsent.size());
    boost::asio::post(this->state->socket.get_executor(),
                      [self = this->shared_from_this()] { self->Fail(); });
    return;
  }
  this->Write();
}

void LineConnection::Write() {
  if (!this->state->is_connected || !this->state->writing.empty())
    return;
  if (this->state->unsent.empty()) {
    if (this->state->is_closing)
      this->Abort();
    return;
  }
  std::swap(this->state->writing, this->state->unsent);
  this->WriteSome();
}

void LineConnection::WriteSome() {
  this->state->socket.async_write_some(
      boost::asio::buffer(this->state->writing) + this->state->written,
      [self = this->shared_from_this()](const error_code& error, size_t count) {
        if (self->state->is_closed)
          return;
        if (error)
          return self->Fail();
        self->DidWrite(count);
      });
}

void LineConnection::DidWrite(size_t count) {
  this->state->written += count;
  const bool is_complete = this->state->written == this->state->writing.size();
  if (is_complete) {
    this->state->written = 0;
    this->state->writing.clear();
    if (this->state->writing.capacity() > 4 * kReadBytes)
      this->state->writing.shrink_to_fit();
  }
  const auto did_move_bytes = this->state->handlers.did_move_bytes;
  if (did_move_bytes)
    did_move_bytes();
  if (this->state->is_closed)
    return;
  if (!is_complete)
    return this->WriteSome();
  this->Write();
}

void LineConnection::Close() {
  this->state->handlers = {};
  this->state->is_closing = true;
  if (!this->state->is_connected)
    return this->Abort();
  this->state->close_timer.expires_after(kCloseTimeout);
  this->state->close_timer.async_wait(
      [weak = this->weak_from_this()](const error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->state->is_closed)
          self->Abort();
      });
  this->Write();
}

void LineConnection::Abort() {
  this->state->handlers = {};
  this->state->is_closed = true;
  this->state->close_timer.cancel();
  error_code ignored;
  this->state->socket.shutdown(tcp::socket::shutdown_both, ignored);
  this->state->socket.close(ignored);
}

void LineConnection::Fail() {
  if (this->state->is_closed)
    return;
  const auto did_close = this->state->handlers.did_close;
  this->Abort();
  if (did_close)
    did_close();
}

struct LineListener::State {
  explicit State(EventLoop& loop) : loop(loop), acceptor(loop.context()) {}
  EventLoop& loop;
  tcp::acceptor acceptor;
  DidAccept did_accept;
  DidFailToAccept did_fail_to_accept;
};

LineListener::LineListener(std::shared_ptr<State> state)
    : state(std::move(state)) {}

LineListener::~LineListener() {
  this->Stop();
}

Result<std::unique_ptr<LineListener>> LineListener::Create(
    EventLoop& loop,
    const std::string& address,
    DidAccept did_accept,
    DidFailToAccept did_fail_to_accept) {
  tcp::endpoint endpoint;
  if (!ParseEndpoint(address, endpoint))
    return Fail(ErrorCode::kInvalidInput, "not IP:port: " + address);
  auto state = std::make_shared<State>(loop);
  state->did_accept = std::move(did_accept);
  state->did_fail_to_accept = std::move(did_fail_to_accept);
  error_code error;
  state->acceptor.open(endpoint.protocol(), error);
  if (!error)
    state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    state->acceptor.bind(endpoint, error);
  if (!error)
    state->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                           error);
  if (error)
    return Fail(ErrorCode::kUnavailable,
                "cannot listen on " + address + ": " + error.message());
  Accept(state);
  return std::unique_ptr<LineListener>(new LineListener(std::move(state)));
}

void LineListener::Accept(const std::shared_ptr<State>& state) {
  state->acceptor.async_accept(
      [state](const error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted ||
            !state->acceptor.is_open())
          return;
        if (error) {
          static LogInterval interval;
          if (interval.has_passed())
            spdlog::warn("event=accept_failed error=\"{}\"", error.message());
          if (state->did_fail_to_accept)
            state->did_fail_to_accept();
          state->loop.PostAfter(kAcceptRetryDelay, [state] { Accept(state); });
          return;
        }
        std::shared_ptr<LineConnection> connection(new LineConnection(
            std::make_unique<LineConnection::State>(std::move(socket))));
        state->did_accept(connection);
        if (!connection->state->is_closed)
          connection->Start();
        Accept(state);
      });
}

void LineListener::SetHandlers(LineConnection& connection,
                               LineHandlers handlers) {
  connection.state->handlers = std::move(handlers);
}

void LineListener::Stop() {
  error_code ignored;
  this->state->acceptor.close(ignored);
}

}  // namespace kingcupmill
