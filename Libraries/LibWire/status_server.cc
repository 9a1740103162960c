#include "LibWire/status_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>
#include <utility>

#include "LibWire/event_loop.h"
#include "LibWire/http_message.h"
#include "LibWire/tcp_detail.h"

namespace kingcupmill {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelay{20};

// Returns the path of a request's target, without the query.
std::string PathOf(std::string_view target) {
  return std::string(target.substr(0, target.find('?')));
}

}  // namespace

struct StatusServer::State {
  explicit State(EventLoop& loop) : loop(loop), acceptor(loop.context()) {}

  EventLoop& loop;
  tcp::acceptor acceptor;
  Options options;
  Handler handler;
  // In the order of their last request.
  std::list<std::shared_ptr<Connection>> connections;
};

class StatusServer::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<State> state, tcp::socket socket)
      : state(std::move(state)),
        stream(std::move(socket)),
        buffer(this->state->options.maximum_header_bytes +
               this->state->options.maximum_body_bytes) {}

  void Read() {
    const Options& options = this->state->options;
    this->parser.emplace();
    this->parser->header_limit(
        static_cast<uint32_t>(options.maximum_header_bytes));
    this->parser->body_limit(options.maximum_body_bytes);
    this->stream.expires_after(options.timeout);
    http::async_read(
        this->stream, this->buffer, *this->parser,
        [self = this->shared_from_this()](const error_code& error, size_t) {
          self->DidRead(error);
        });
  }

  void Close() {
    this->stream.close();
    this->state->connections.remove(this->shared_from_this());
  }

 private:
  void DidRead(const error_code& error) {
    if (error == http::error::header_limit)
      return this->Respond(431, "", "", false);
    if (error == http::error::body_limit)
      return this->Respond(413, "", "", false);
    if (error &&
        error.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message)
      return this->Respond(400, "", "", false);
    if (error)
      return this->Close();
    const auto& request = this->parser->get();
    const auto target = request.target();
    HttpResponse response = this->state->handler(
        PathOf(std::string_view(target.data(), target.size())));
    this->Respond(response.status, std::move(response.body),
                  response.content_type, request.keep_alive());
  }

  void Respond(unsigned status,
               std::string body,
               const std::string& content_type,
               bool is_kept) {
    this->response = {};
    this->response.result(status);
    if (!content_type.empty())
      this->response.set(http::field::content_type, content_type);
    this->response.body() = std::move(body);
    this->response.keep_alive(is_kept);
    this->response.prepare_payload();
    this->stream.expires_after(this->state->options.timeout);
    http::async_write(this->stream, this->response,
                      [self = this->shared_from_this(), is_kept](
                          const error_code& error, size_t) {
                        if (error || !is_kept)
                          return self->Close();
                        // The connection is now the last one to be closed for a
                        // new one.
                        auto& connections = self->state->connections;
                        connections.remove(self);
                        connections.push_back(self);
                        self->response = {};
                        self->Read();
                      });
  }

  std::shared_ptr<State> state;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
};

StatusServer::StatusServer(std::shared_ptr<State> state)
    : state(std::move(state)) {}

StatusServer::~StatusServer() {
  error_code ignored;
  this->state->acceptor.close(ignored);
  const auto open = this->state->connections;
  for (const auto& connection : open)
    connection->Close();
}

Result<std::unique_ptr<StatusServer>> StatusServer::Create(EventLoop& loop,
                                                           Options options,
                                                           Handler handler) {
  tcp::endpoint endpoint;
  if (!ParseEndpoint(options.address, endpoint))
    return Fail(ErrorCode::kUnavailable, "not IP:port: " + options.address);
  auto state = std::make_shared<State>(loop);
  state->options = std::move(options);
  state->handler = std::move(handler);
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
    return Fail(
        ErrorCode::kUnavailable,
        "cannot listen on " + state->options.address + ": " + error.message());
  Accept(state);
  return std::unique_ptr<StatusServer>(new StatusServer(std::move(state)));
}

void StatusServer::Accept(const std::shared_ptr<State>& state) {
  state->acceptor.async_accept(
      [state](const error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted ||
            !state->acceptor.is_open())
          return;
        if (error) {
          state->loop.PostAfter(kAcceptRetryDelay, [state] { Accept(state); });
          return;
        }
        if (state->connections.size() >= state->options.maximum_connections)
          std::shared_ptr<Connection>(state->connections.front())->Close();
        state->connections.push_back(
            std::make_shared<Connection>(state, std::move(socket)));
        state->connections.back()->Read();
        Accept(state);
      });
}

}  // namespace kingcupmill
