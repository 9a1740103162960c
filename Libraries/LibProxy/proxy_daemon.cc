#include "LibProxy/proxy_daemon.h"

#include <utility>

#include "LibWire/http_message.h"

namespace kingcupmill {

namespace {

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);

}  // namespace

Result<std::unique_ptr<ProxyDaemon>> ProxyDaemon::Create(ProxySettings settings,
                                                         uint64_t seed) {
  BOOST_LEAF_AUTO(codec, TokenCodec::Create(settings.session_key));
  std::unique_ptr<ProxyDaemon> daemon(
      new ProxyDaemon(std::move(settings), std::move(codec), seed));
  BOOST_LEAF_CHECK(daemon->Start());
  return daemon;
}

ProxyDaemon::ProxyDaemon(ProxySettings settings,
                         TokenCodec codec,
                         uint64_t seed)
    : proxy_settings(std::move(settings)),
      log(this->proxy_settings.options.vm.value),
      connector(this->loop),
      peers(
          this->loop,
          [this](ClientRequest request, Reply reply) {
            this->core.HandleForwarded(std::move(request), std::move(reply));
          },
          [](const PeerMessage&, const SocketPeerNetwork::Answer&) {}),
      core(this->loop,
           this->connector,
           this->peers,
           this->log,
           seed,
           this->proxy_settings.options,
           [](const GroupName&, const RecordPrimary&) {}),
      callers(std::move(codec),
              seed + 1,
              [this](ClientRequest request, Reply reply) {
                this->core.Handle(std::move(request), std::move(reply));
              }) {}

ProxyDaemon::~ProxyDaemon() {
  // Requests reach the loop through the HTTP server, so it goes first.
  this->http.reset();
  this->loop.Stop();
}

Result<void> ProxyDaemon::Start() {
  BOOST_LEAF_CHECK(this->peers.Listen(this->proxy_settings.peer_address));
  HttpServer::Options options;
  options.address = this->proxy_settings.http_address;
  options.maximum_body_bytes = this->proxy_settings.maximum_body_bytes;
  BOOST_LEAF_ASSIGN(
      this->http, HttpServer::Create(options, [this](HttpRequest request,
                                                     HttpServer::Reply reply) {
        this->HandleHttp(std::move(request), std::move(reply));
      }));
  this->loop.Start();
  return {};
}

void ProxyDaemon::Adopt(Arrangement arrangement, std::vector<Member> members) {
  this->loop.Post([this, arrangement = std::move(arrangement),
                   members = std::move(members)]() mutable {
    this->connector.SetTargets(arrangement.targets);
    this->peers.SetMembers(members);
    this->core.SetMembers(std::move(members));
    this->core.AdoptArrangement(std::move(arrangement));
    this->has_arrangement = true;
  });
}

void ProxyDaemon::HandleHttp(HttpRequest request, HttpServer::Reply reply) {
  this->loop.Post(
      [this, request = std::move(request), reply = std::move(reply)] {
        this->HandleOnLoop(request, reply);
      });
}

void ProxyDaemon::HandleOnLoop(const HttpRequest& request,
                               const HttpServer::Reply& reply) {
  if (request.path == "/health")
    return reply(this->Health());
  if (CallerInterface::is_responsible(request.path))
    return this->callers.Handle(request, reply);
  HttpResponse response;
  response.status = 404;
  response.body = R"({"outcome":"not_run","error":{"code":"invalid_request",)"
                  R"("message":"there is no such path"}})";
  reply(std::move(response));
}

HttpResponse ProxyDaemon::Health() const {
  HttpResponse response;
  if (this->core.is_draining()) {
    response.status = 503;
    response.body = R"({"status":"draining"})";
  } else if (!this->has_arrangement) {
    response.status = 503;
    response.body = R"({"status":"without_configuration"})";
  } else {
    response.body = R"({"status":"ready"})";
  }
  return response;
}

void ProxyDaemon::StartDraining() {
  this->loop.Post([this] {
    if (this->core.is_draining())
      return;
    // 1. Health says draining and new transactions are refused.
    this->core.StartDraining();
    const TimePoint limit = this->loop.Now() +
                            this->proxy_settings.drain_notice +
                            this->proxy_settings.drain_limit;
    // 2. The balancer gets time to send its callers elsewhere.
    this->loop.PostAfter(this->proxy_settings.drain_notice,
                         [this, limit] { this->ContinueDraining(limit); });
  });
}

void ProxyDaemon::ContinueDraining(TimePoint limit) {
  // 3. Open requests and transactions end, or are rolled back at the limit.
  if (this->loop.Now() >= limit)
    this->core.FinishDraining();
  const bool is_idle =
      this->core.open_requests() == 0 && this->core.open_transactions() == 0;
  if (is_idle) {
    this->drained = true;
    return;
  }
  this->loop.PostAfter(kDrainCheckInterval,
                       [this, limit] { this->ContinueDraining(limit); });
}

}  // namespace kingcupmill
