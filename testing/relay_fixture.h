// A relay between callers and scripted backend servers, over sockets. For tests
// of how the relay handles answers of backend servers.
#ifndef TESTING_RELAY_FIXTURE_H_
#define TESTING_RELAY_FIXTURE_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/route_table.h"
#include "daemon/relay_executor.h"
#include "testing/find_action.h"
#include "testing/net_test_support.h"

namespace clementine::nettest {

inline constexpr char kSigned[] = "X-Clementinelb-Response-Signature: s\r\n";

/// A relay with one or two scripted backend servers of a plain service.
struct RelayFixture {
  explicit RelayFixture(ScriptedServer::Script script,
                        RouteKind kind = RouteKind::kIdempotent,
                        const ScriptedServer::Script& second = nullptr,
                        int attempts = 2,
                        const RequestPathOptions& options = {})
      : backends(&io, BackendOptions()),
        path(options),
        executor(Context()),
        backend(&io, std::move(script)),
        front(&io, "127.0.0.1:0", HttpLimits{},
              [this](const std::shared_ptr<HttpExchange>& exchange) {
                executor.Accept(exchange);
              }) {
    FleetConfiguration configuration;
    configuration.version = 1;
    configuration.services["desk"].name = "desk";
    RouteRule route;
    route.name = "r";
    route.host = "desk.example";
    route.path_prefix = "/";
    route.is_public = true;
    route.kind = kind;
    route.timeout = milliseconds(4'000);
    route.shares = {{"desk", 1.0}};
    route.resumable = second != nullptr;
    route.max_attempts = second != nullptr ? attempts : 1;
    configuration.routes.push_back(route);
    auto routes = std::make_shared<const RouteTable>(configuration);
    ConfigurationChanged changed;
    changed.generation = 1;
    changed.configuration = std::make_shared<const Configuration>(
        ToRequestPathConfiguration(routes->configuration()));
    Feed(changed);
    executor.SetRoutes(routes);
    std::vector<GroupView> views = {View("h1", backend.address)};
    if (second != nullptr) {
      other_backend = std::make_unique<ScriptedServer>(&io, second);
      views.push_back(View("h2", other_backend->address));
    }
    executor.SetGroups(views);
    Feed(GroupsChanged{views});
  }

  static GroupView View(const std::string& host, const std::string& address) {
    GroupView view;
    view.group = "desk/" + host;
    view.service = "desk";
    view.epoch = 5;
    view.head_host = host;
    view.head_address = address;
    view.open = true;
    return view;
  }

  RelayContext Context() {
    RelayContext context;
    context.backends = &backends;
    context.metrics = &metrics;
    context.now = [] { return std::chrono::steady_clock::now(); };
    context.feed = [this](const RequestEvent& event) { Feed(event); };
    context.feed_fleet = [this](const FleetEvent& event) {
      fleet_events.push_back(event);
    };
    context.share = [this](const ShareQuarantine& share) {
      shared.push_back(share);
    };
    return context;
  }
  void Feed(const RequestEvent& event) {
    for (const RequestAction& action :
         path.Handle(event, std::chrono::steady_clock::now())) {
      executor.Execute(action);
    }
  }
  /// Sends a request.
  /// @return All bytes that the caller received.
  std::string Call(const std::string& headers = "") {
    return CallConcurrently(
               1, [] {}, headers)
        .front();
  }

  /// Sends `count` requests concurrently.
  /// @param on_poll Called repeatedly until all callers are answered.
  /// @param headers Additional header lines of the requests.
  /// @return All bytes that each caller received.
  std::vector<std::string> CallConcurrently(
      std::size_t count, const std::function<void()>& on_poll,
      const std::string& headers = "") {
    std::vector<std::shared_ptr<RawConnection>> callers;
    for (std::size_t i = 0; i < count; ++i) {
      callers.push_back(RawConnection::Connect(&io, front.address()));
      callers.back()->Send(
          "GET /x HTTP/1.1\r\nHost: desk.example\r\n"
          "Connection: close\r\n" +
          headers + "\r\n");
    }
    CHECK(RunUntil(&io, [&] {
      executor.CheckSilence();
      Feed(Tick{});
      on_poll();
      return std::all_of(callers.begin(), callers.end(),
                         [](const auto& caller) { return caller->closed; });
    }));
    std::vector<std::string> received;
    received.reserve(count);
    for (const auto& caller : callers) received.push_back(caller->received);
    return received;
  }
  template <typename Event>
  std::optional<Event> FindFleetEvent() const {
    return testing::FindAction<Event>(fleet_events);
  }

  boost::asio::io_context io;
  BackendClient backends;
  Metrics metrics;
  std::vector<FleetEvent> fleet_events;
  std::vector<ShareQuarantine> shared;
  RequestPath path;
  RelayExecutor executor;
  ScriptedServer backend;
  std::unique_ptr<ScriptedServer> other_backend;  ///< May be null.
  HttpServer front;
};

}  // namespace clementine::nettest

#endif  // TESTING_RELAY_FIXTURE_H_
