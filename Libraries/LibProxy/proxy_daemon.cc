#include "LibProxy/proxy_daemon.h"

#include <utility>

#include "LibWire/http_message.h"

namespace kingcupmill {

namespace {

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);

ControlAgent::Options ControlOptions(const ProxySettings& settings) {
  ControlAgent::Options options;
  options.vm = settings.options.vm;
  options.poll_interval = settings.platform_poll_interval;
  options.heartbeat_interval = settings.heartbeat_interval;
  for (const std::string& address : settings.seed_peers) {
    Member member;
    member.vm.value = address;
    member.peer_address = address;
    options.seeds.push_back(std::move(member));
  }
  return options;
}

}  // namespace

Result<std::unique_ptr<ProxyDaemon>> ProxyDaemon::Create(ProxySettings settings,
                                                         uint64_t seed) {
  KINGCUPMILL_TRY(codec, TokenCodec::Create(settings.session_key));
  std::unique_ptr<ProxyDaemon> daemon(
      new ProxyDaemon(std::move(settings), std::move(codec), seed));
  KINGCUPMILL_RETURN_IF_ERROR(daemon->Start());
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
          [this](const PeerMessage& message,
                 const SocketPeerNetwork::SendAnswer& send_answer) {
            this->control.DidReceive(message, send_answer);
          }),
      core(this->loop,
           this->connector,
           this->peers,
           this->log,
           seed,
           this->proxy_settings.options,
           [this](const GroupName& group, const RecordPrimary& record) {
             this->control.RecordPromotion(group, record);
           }),
      platform(this->loop,
               this->proxy_settings.platform_address,
               this->proxy_settings.platform_timeout),
      control(this->loop,
              this->platform,
              this->peers,
              this->core,
              this->log,
              seed + 1,
              ControlOptions(this->proxy_settings),
              [this](const Arrangement& arrangement) {
                this->connector.SetTargets(arrangement.targets);
              }),
      callers(std::move(codec),
              seed + 2,
              [this](ClientRequest request, Reply reply) {
                this->Execute(std::move(request), std::move(reply));
              }),
      admin(this->loop,
            this->proxy_settings,
            this->core,
            this->control,
            this->metrics,
            this->peers,
            [this] { this->StartDraining(); }) {}

ProxyDaemon::~ProxyDaemon() {
  // The HTTP server posts requests to the loop, so it is destroyed before the
  // loop stops.
  this->http.reset();
  this->loop.Stop();
}

Result<void> ProxyDaemon::Start() {
  KINGCUPMILL_RETURN_IF_ERROR(
      this->peers.Listen(this->proxy_settings.peer_address));
  HttpServer::Options options;
  options.address = this->proxy_settings.http_address;
  options.maximum_body_bytes = this->proxy_settings.maximum_body_bytes;
  KINGCUPMILL_TRY_ASSIGN(
      this->http, HttpServer::Create(options, [this](HttpRequest request,
                                                     HttpServer::Reply reply) {
        this->HandleHttp(std::move(request), std::move(reply));
      }));
  this->loop.Start();
  return {};
}

void ProxyDaemon::HandleHttp(HttpRequest request, HttpServer::Reply reply) {
  this->loop.Post(
      [this, request = std::move(request), reply = std::move(reply)] {
        this->HandleOnLoop(request, reply);
      });
}

void ProxyDaemon::HandleOnLoop(const HttpRequest& request,
                               const HttpServer::Reply& reply) {
  if (AdminInterface::is_responsible(request.path))
    return reply(this->admin.Handle(request));
  if (CallerInterface::is_responsible(request.path))
    return this->callers.Handle(request, reply);
  HttpResponse response;
  response.status = 404;
  response.body = R"({"outcome":"not_run","error":{"code":"invalid_request",)"
                  R"("message":"there is no such path"}})";
  reply(std::move(response));
}

void ProxyDaemon::Execute(ClientRequest request, Reply reply) {
  const ClientOperation operation = request.operation;
  const TimePoint started_at = this->loop.Now();
  this->core.Handle(std::move(request), [this, operation, started_at,
                                         reply = std::move(reply)](
                                            ClientAnswer answer) {
    this->metrics.DidFinish(operation, answer, this->loop.Now() - started_at);
    reply(std::move(answer));
  });
}

void ProxyDaemon::StartDraining() {
  this->loop.Post([this] {
    if (this->core.is_draining())
      return;
    // 1. Fail the health check and refuse new transactions.
    this->core.StartDraining();
    const TimePoint limit = this->loop.Now() +
                            this->proxy_settings.drain_notice +
                            this->proxy_settings.drain_limit;
    // 2. Wait for the load balancer to route callers to other proxies.
    this->loop.PostAfter(this->proxy_settings.drain_notice,
                         [this, limit] { this->ContinueDraining(limit); });
  });
}

void ProxyDaemon::ContinueDraining(TimePoint limit) {
  // 3. Wait for open requests and transactions to finish; roll back the
  // transactions that are still open at the limit.
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
