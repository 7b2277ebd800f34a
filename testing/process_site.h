// A whole site for process tests: a platform, engines, plain services and
// daemons, started and configured, with the settings that a test varies.
//
//   Site site({.engines = 5, .timeouts = "lease_duration = 2s\n"});
//   CHECK(Fetch(site.address(0), "POST", kChat, ..., kCaller).status == 200);
#ifndef TESTING_PROCESS_SITE_H_
#define TESTING_PROCESS_SITE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testing/process_harness.h"

namespace clementine::testing {

inline constexpr char kChat[] = "/v1/chat/completions";
inline constexpr char kOrders[] = "/v1/kit-orders";
inline constexpr char kPlatformToken[] = "platform-token";

/// Two replicas of two hosts, and a plain service that must not run twice.
extern const char* const kTwoGroups;
/// One replica of two hosts, and the same plain service.
extern const char* const kOneGroup;

extern const Headers kCaller;  ///< Of organisation "shop".

Headers WithKey(const std::string& key);  ///< kCaller with a caller's key.

/// @return Text that an engine gives for the body of a chat request.
std::string ExpectedText(const std::string& body);

/// @return Text of a whole chat answer, or "" when it isn't one.
std::string ChatText(const Answer& answer);

struct SiteOptions {
  std::vector<std::string> engine_options{};
  std::vector<std::string> plain_options{};
  std::vector<std::string> platform_options{};
  std::string file = kTwoGroups;  ///< Applied before the constructor returns.
  int engines = 4;                ///< Named e1, e2, ...
  int domain_hosts = 2;           ///< Engines per fabric domain.
  int open_groups = 3;     ///< Gates that open before the constructor returns.
  int daemons = 2;         ///< Named d1, d2, ...
  std::string timeouts{};  ///< Further lines of section [timeouts].
  std::string limits{};    ///< Lines of section [limits].
  int linked_daemon = -1;  ///< Its calls to the platform pass platform_link().
};

class Site {
 public:
  explicit Site(SiteOptions options = {});

  /// Applies a site file. @return Exit status and output.
  std::pair<int, std::string> Apply(const std::string& text,
                                    const std::vector<std::string>& options = {
                                        "--wait"});

  Process& daemon(int index) {
    return *m_daemons[static_cast<std::size_t>(index)];
  }
  std::string address(int index) { return daemon(index).Listening("listen"); }
  Process& backend(const std::string& host) { return *m_backends.at(host); }
  Process& platform() { return m_platform; }
  Link& platform_link() { return *m_link; }

  /// Kills a daemon and starts it again with the other's address as its seed.
  void RestartDaemon(int index);
  void StartEngine(const std::string& host, const std::string& domain);

  /// Value of a metric without labels; -1 when it's missing.
  double Metric(int index, const std::string& name);
  /// Waits until so many gates are open at each daemon.
  bool WaitForOpenGroups(int count);
  /// Generation that /status of a daemon gives for itself; -1 when unknown.
  int Generation(int index);

  nlohmann::json Runs(const std::string& host);
  nlohmann::json AcceptedOrders(const std::string& host);
  /// Engines that run something now.
  std::vector<std::string> BusyEngines();
  void SetEngineFaults(const nlohmann::json& faults);
  void SetPlatformFaults(const nlohmann::json& faults);

  /// A call to the platform with its token.
  Answer Platform(const std::string& method, const std::string& target,
                  const std::string& body = "");
  /// Value of an object as JSON; discarded when there's none.
  nlohmann::json Object(const std::string& key);
  /// Hosts of a replica in rank order, as placed.
  std::vector<std::string> GroupHosts(const std::string& group);

 private:
  void StartBackend(const std::string& host, const std::string& kind,
                    const std::string& domain,
                    const std::vector<std::string>& options);
  std::unique_ptr<Process> StartDaemon(int index);

  SiteOptions m_options;
  TemporaryFolder m_folder;
  Process m_platform;
  std::unique_ptr<Link> m_link;
  std::map<std::string, std::unique_ptr<Process>> m_backends;
  std::vector<std::unique_ptr<Process>> m_daemons;
  int m_files = 0;
};

}  // namespace clementine::testing

#endif  // TESTING_PROCESS_SITE_H_
