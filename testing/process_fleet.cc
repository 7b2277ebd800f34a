// The time bounds of the settings are those of the users' small sites.

#include "testing/process_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>

#include "config/config.h"
#include "fmt/format.h"

namespace clementine::testing {
namespace {

std::vector<std::string> StandinArguments(const FleetOptions& options) {
  std::vector<std::string> arguments = {BinaryPath("fleet_standin"),
                                        "--servers",
                                        std::to_string(options.servers)};
  if (options.era > 0) {
    arguments.insert(arguments.end(), {"--era", std::to_string(options.era)});
  }
  if (options.keep_ids) arguments.emplace_back("--keep-ids");
  if (options.own_stores) {
    arguments.insert(arguments.end(),
                     {"--store-addresses", std::to_string(options.daemons)});
  }
  return arguments;
}

}  // namespace

FleetSite::FleetSite(FleetOptions options)
    : m_options(std::move(options)), m_standin(StandinArguments(m_options)) {
  for (int i = 0; i < m_options.daemons; ++i) Add();
}

int FleetSite::Add() {
  int index = static_cast<int>(m_daemons.size());
  if (m_options.linked) {
    m_links.push_back(std::make_unique<Link>(m_standin.address()));
  }
  m_listen.emplace_back(
      "address = 127.0.0.1:0\nhealth = 127.0.0.1:0\nchanges = 127.0.0.1:0\n");
  m_daemons.push_back(Start(index));
  REQUIRE(WaitFor(kLongWait, [&] { return Ready(index); }));
  Process& process = daemon(index);
  m_listen.back() = fmt::format(
      "address = {}\nhealth = {}\nchanges = {}\n", process.Listening("listen"),
      process.Listening("health"), process.Listening("peer_listen"));
  return index;
}

void FleetSite::Restart(int daemon, bool wait) {
  auto& process = m_daemons[static_cast<std::size_t>(daemon)];
  process->Signal(SIGKILL);
  process->WaitForExit();
  process = Start(daemon);
  if (!wait) return;
  REQUIRE(WaitFor(kLongWait, [&] { return Ready(daemon); }));
}

std::unique_ptr<Process> FleetSite::Start(int index) {
  auto number = static_cast<std::size_t>(index);
  std::string store =
      m_options.linked ? platform_link(index).address() : m_standin.address();
  if (m_options.own_stores) store = StoreAddresses().at(number);
  std::string data_centre = number < m_options.data_centres.size()
                                ? m_options.data_centres[number]
                                : "dc1";
  std::string settings = fmt::format(
      "[node]\nname = d{}\nregion = r1\ndata_centre = {}\n"
      "interface = relay\nfirst_start = true\n"
      "[listen]\n{}[platform]\naddress = {}\n"
      "[timeouts]\nconnect_timeout = 300ms\ndrain_wait = 300ms\n"
      "leaving_notice = 2000ms\nconfiguration_notice = 2000ms\n"
      "revocation_notice = 5000ms\nstop_limit = 7s\n"
      "evacuation_notice = {}ms\n[limits]\n{}",
      index + 1, data_centre, m_listen[number], store,
      m_options.evacuation_notice.count(), m_options.limits);
  std::string path =
      m_folder.Write(fmt::format("d{}.ini", index + 1), settings);
  return std::make_unique<Process>(
      std::vector<std::string>{BinaryPath("clementined"), "--config", path});
}

bool FleetSite::Ready(int daemon) {
  auto& process = m_daemons[static_cast<std::size_t>(daemon)];
  return Fetch(process->Listening("health"), "GET", "/readyz").status == 200;
}

double FleetSite::Metric(int daemon, const std::string& name) {
  auto& process = m_daemons[static_cast<std::size_t>(daemon)];
  std::string text =
      Fetch(process->Listening("health"), "GET", "/metrics").body;
  std::size_t line = text.find("\nclementine_" + name + " ");
  if (line == std::string::npos) return -1;
  return std::stod(text.substr(text.find(' ', line) + 1));
}

Answer FleetSite::Send(int daemon, const std::string& body,
                       const std::string& path, const std::string& parts) {
  Headers headers = {
      {"Host", "desk.example"},
      {"X-Clementinelb-Attempt-Id", fmt::format("a{}", ++m_requests)},
      {"X-Clementinelb-Deadline-Ms", "4000"}};
  if (!parts.empty()) {
    headers.emplace_back("X-Clementinelb-Prompt-Prefix", parts);
  }
  auto& process = m_daemons[static_cast<std::size_t>(daemon)];
  return Fetch(process->Listening("listen"), "POST", path, body, headers);
}

int FleetSite::Runs(const std::string& body) {
  return Fetch(m_standin.address(), "GET", "/control/runs")
      .Json()["runs"]
      .value(body, 0);
}

int FleetSite::Ended() {
  return Fetch(m_standin.address(), "GET", "/control/runs")
      .Json()["ended"]
      .get<int>();
}

void FleetSite::SetEvacuated(bool evacuated) {
  std::string path = "/objects/evacuations";
  if (evacuated) {
    nlohmann::json entry = {{"metadata", {{"name", "dc1"}}},
                            {"spec", nlohmann::json::object()}};
    REQUIRE(Fetch(m_standin.address(), "POST", path, JsonText(entry)).status ==
            201);
  } else {
    REQUIRE(Fetch(m_standin.address(), "DELETE", path + "/dc1").status == 200);
  }
}

void FleetSite::SetStore(const std::string& state) {
  nlohmann::json faults = {{"store", state}};
  REQUIRE(
      Fetch(m_standin.address(), "POST", "/control/faults", JsonText(faults))
          .status == 200);
}

std::vector<std::string> FleetSite::StoreAddresses() {
  std::vector<std::string> addresses;
  std::stringstream text(m_standin.Listening("stores"));
  for (std::string address; std::getline(text, address, ',');) {
    addresses.push_back(address);
  }
  return addresses;
}

void FleetSite::SetStoreFor(int daemon, const std::string& state) {
  nlohmann::json faults = {{"store", state}, {"address", daemon}};
  REQUIRE(
      Fetch(m_standin.address(), "POST", "/control/faults", JsonText(faults))
          .status == 200);
}

std::vector<int> FleetSite::StoreCalls() {
  return Fetch(m_standin.address(), "GET", "/control/calls")
      .Json()["calls"]
      .get<std::vector<int>>();
}

void FleetSite::Drill(const nlohmann::json& order) {
  REQUIRE(Fetch(m_standin.address(), "POST", "/control/drill", JsonText(order))
              .status == 200);
}

bool FleetSite::WaitForLog(int daemon, const std::vector<std::string>& texts) {
  return WaitFor(kLongWait, [&] {
    std::string log = Log(daemon);
    std::size_t begin = 0;
    while (begin < log.size()) {
      std::size_t end = std::min(log.find('\n', begin), log.size());
      std::string line = log.substr(begin, end - begin);
      begin = end + 1;
      bool all = std::all_of(texts.begin(), texts.end(), [&](const auto& text) {
        return line.find(text) != std::string::npos;
      });
      if (all) return true;
    }
    return false;
  });
}

}  // namespace clementine::testing
