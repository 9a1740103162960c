#ifndef LIBWIRE_FORWARD_H_
#define LIBWIRE_FORWARD_H_

namespace kingcupmill {

class EventLoop;
class HttpClient;
class HttpServer;
class LineConnection;
class LineListener;
class ProcessSignals;
class StatusServer;
class WebSocketClient;
class WebSocketConnection;
class WebSocketServer;
struct HttpRequest;
struct HttpResponse;
struct LineHandlers;
struct WebSocketHandlers;

}  // namespace kingcupmill

#endif  // LIBWIRE_FORWARD_H_
