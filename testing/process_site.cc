// The daemons' settings use short intervals, so that a test waits for the
// behaviour and not for its default period.

#include "testing/process_site.h"

#include <doctest/doctest.h>

#include <csignal>

#include "config/config.h"
#include "fmt/format.h"
#include "testing/standin_tokens.h"

namespace clementine::testing {

using Json = nlohmann::json;

namespace {

std::string SiteText(int replicas) {
  return fmt::format(R"(
[model chat]
version = 1
weights = chat-1
hosts_per_replica = 2
load_time = 1s

[group chat]
model = chat
data_centre = dc1
replicas = {}

[organisation shop]

[route /v1/chat/completions]
model = chat
timeout = 60s

[route /v1/kit-orders]
service = orders
idempotent = no
key_required = yes
timeout = 60s

[service orders]
hosts = p1
)",
                     replicas);
}

const std::string kOneGroupText = SiteText(1);
const std::string kTwoGroupsText = SiteText(2);

std::vector<std::string> PlatformArguments(const SiteOptions& options) {
  std::vector<std::string> arguments = {BinaryPath("platform_standin"),
                                        "--token", kPlatformToken};
  arguments.insert(arguments.end(), options.platform_options.begin(),
                   options.platform_options.end());
  return arguments;
}

}  // namespace

const char* const kOneGroup = kOneGroupText.c_str();
const char* const kTwoGroups = kTwoGroupsText.c_str();

const Headers kCaller = {{"Authorization", "Bearer shop-token"}};

Headers WithKey(const std::string& key) {
  Headers headers = kCaller;
  headers.emplace_back("Idempotency-Key", key);
  return headers;
}

std::string ExpectedText(const std::string& body) {
  return standin::AnswerText(ParseJson(body));
}

std::string ChatText(const Answer& answer) {
  Json json = answer.Json();
  if (answer.status != 200 || !json.is_object()) return "";
  return json["choices"].at(0).at("message").value("content", std::string());
}

Site::Site(SiteOptions options)
    : m_options(std::move(options)), m_platform(PlatformArguments(m_options)) {
  for (int i = 0; i < m_options.engines; ++i) {
    StartEngine(fmt::format("e{}", i + 1),
                fmt::format("fd{}", i / m_options.domain_hosts + 1));
  }
  StartBackend("p1", "plain", "fd1", m_options.plain_options);
  if (m_options.linked_daemon >= 0) {
    m_link = std::make_unique<Link>(m_platform.address());
  }
  for (int i = 0; i < m_options.daemons; ++i) {
    m_daemons.push_back(StartDaemon(i));
  }
  if (m_options.file.empty()) return;
  auto applied = Apply(m_options.file, {});
  INFO(applied.second);
  REQUIRE(applied.first == 0);
  bool open = WaitForOpenGroups(m_options.open_groups);
  INFO(m_daemons.back()->Log());
  REQUIRE(open);
}

std::pair<int, std::string> Site::Apply(
    const std::string& text, const std::vector<std::string>& options) {
  std::string path = m_folder.Write(fmt::format("site{}.ini", ++m_files), text);
  std::vector<std::string> arguments = {BinaryPath("clementinectl"),
                                        "--platform",
                                        m_platform.address(),
                                        "--token",
                                        kPlatformToken,
                                        "apply",
                                        "--timeout",
                                        "25"};
  arguments.insert(arguments.end(), options.begin(), options.end());
  arguments.push_back(path);
  return Run(arguments, kLongWait);
}

void Site::RestartDaemon(int index) {
  auto& daemon = m_daemons[static_cast<std::size_t>(index)];
  daemon->Signal(SIGKILL);
  daemon->WaitForExit();
  daemon = StartDaemon(index);
}

void Site::StartEngine(const std::string& host, const std::string& domain) {
  StartBackend(host, "engine", domain, m_options.engine_options);
}

double Site::Metric(int index, const std::string& name) {
  std::string text = Fetch(address(index), "GET", "/metrics").body;
  std::size_t line = text.find("\nclementine_" + name + " ");
  if (line == std::string::npos) return -1;
  return std::stod(text.substr(text.find(' ', line) + 1));
}

bool Site::WaitForOpenGroups(int count) {
  for (int i = 0; i < m_options.daemons; ++i) {
    bool open =
        WaitFor(kLongWait, [&] { return Metric(i, "open_groups") == count; });
    if (!open) return false;
  }
  return true;
}

int Site::Generation(int index) {
  Json status = Fetch(address(index), "GET", "/status").Json();
  if (!status.is_object()) return -1;
  for (const Json& node : status["nodes"]) {
    if (node["node"] == fmt::format("d{}", index + 1)) {
      return node["generation"].get<int>();
    }
  }
  return -1;
}

Json Site::Runs(const std::string& host) {
  return Fetch(backend(host).address(), "GET", "/runs").Json()["runs"];
}

Json Site::AcceptedOrders(const std::string& host) {
  Json accepted = Json::array();
  Json all = Fetch(backend(host).address(), "GET", "/orders").Json();
  for (const Json& order : all["orders"]) {
    if (order["accepted"] == true) accepted.push_back(order);
  }
  return accepted;
}

std::vector<std::string> Site::BusyEngines() {
  std::vector<std::string> busy;
  for (const auto& [host, process] : m_backends) {
    if (host == "p1") continue;
    Json health = Fetch(process->address(), "GET", "/v1/health").Json();
    if (health.is_object() && health["running"] > 0) busy.push_back(host);
  }
  return busy;
}

void Site::SetEngineFaults(const Json& faults) {
  for (const auto& [host, process] : m_backends) {
    if (host != "p1") SetFaults(process->address(), faults);
  }
}

void Site::SetPlatformFaults(const Json& faults) {
  SetFaults(m_platform.address(), faults);
}

Answer Site::Platform(const std::string& method, const std::string& target,
                      const std::string& body) {
  return Fetch(m_platform.address(), method, target, body,
               {{"Authorization", std::string("Bearer ") + kPlatformToken}});
}

Json Site::Object(const std::string& key) {
  Json reply = Platform("GET", "/v1/objects/" + key).Json();
  if (!reply.is_object() || !reply.contains("value")) return Json();
  return TryParseJson(reply["value"].get<std::string>());
}

std::vector<std::string> Site::GroupHosts(const std::string& group) {
  Json placement = Object("placement/dc1");
  return placement.at("groups").at(group).at("hosts");
}

void Site::StartBackend(const std::string& host, const std::string& kind,
                        const std::string& domain,
                        const std::vector<std::string>& options) {
  std::vector<std::string> arguments = {BinaryPath("backend_standin"),
                                        "--platform",
                                        m_platform.address(),
                                        "--platform-token",
                                        kPlatformToken,
                                        "--host",
                                        host,
                                        "--kind",
                                        kind,
                                        "--fabric-domain",
                                        domain,
                                        "--load-ms",
                                        "50"};
  arguments.insert(arguments.end(), options.begin(), options.end());
  m_backends[host] = std::make_unique<Process>(arguments);
}

std::unique_ptr<Process> Site::StartDaemon(int index) {
  std::string seeds;
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    if (static_cast<int>(i) == index) continue;
    seeds = "seeds = " + m_daemons[i]->Listening("peer_listen") + "\n";
  }
  bool linked = index == m_options.linked_daemon;
  std::string settings = fmt::format(
      "[node]\nname = d{}\nregion = r1\ndata_centre = dc1\n"
      "[platform]\naddress = {}\ntoken = {}\n"
      "[peers]\nkey = peer-key\n{}"
      "[timeouts]\nprobe_interval = 200ms\ndrain_wait = 300ms\n{}"
      "[limits]\n{}[organisation_tokens]\nshop = shop-token\n",
      index + 1, linked ? m_link->address() : m_platform.address(),
      kPlatformToken, seeds, m_options.timeouts, m_options.limits);
  std::string path =
      m_folder.Write(fmt::format("d{}.ini", index + 1), settings);
  return std::make_unique<Process>(
      std::vector<std::string>{BinaryPath("clementined"), "--config", path});
}

}  // namespace clementine::testing
