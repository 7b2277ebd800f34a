// Daemons with interface = relay before a stand-in of the users' platform, as
// separate processes.
#ifndef TESTING_PROCESS_FLEET_H_
#define TESTING_PROCESS_FLEET_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "testing/process_harness.h"

namespace clementine::testing {

struct FleetOptions {
  int daemons = 4;  ///< Named d1, d2, ...
  int servers = 12;
  bool keep_ids = false;  ///< Servers come back under the id that they had.
  int era = 0;            ///< Of the store; 0: not stated.
  /// Calls of all daemons to the platform pass links of their own.
  bool linked = false;
  /// See Settings; 0 does not follow evacuations.
  std::chrono::milliseconds evacuation_notice{0};
  std::string limits{};  ///< Lines of section [limits].
  /// Data centres of the daemons; those that aren't named are in "dc1".
  std::vector<std::string> data_centres{};
  /// Each daemon calls an address of the store of its own; see SetStoreFor.
  bool own_stores = false;
};

class FleetSite {
 public:
  /// Returns when all daemons are ready.
  explicit FleetSite(FleetOptions options = {});

  /// Sends a request to a daemon on a connection of its own.
  /// @param parts Parts of its prompt, as the platform spells them; may be "".
  Answer Send(int daemon, const std::string& body,
              const std::string& path = "/read/x",
              const std::string& parts = "");

  /// How often servers began to run a body so far.
  int Runs(const std::string& body);
  /// Servers that ended so far.
  int Ended();
  /// Writes or deletes the evacuation of the servers' data centre.
  void SetEvacuated(bool evacuated);
  /// @param state "up", "busy" or "down".
  void SetStore(const std::string& state);
  /// Sets what the store does with the calls of one daemon. Requires
  /// FleetOptions::own_stores.
  /// @param state "up", "busy" (503), "limited" (429), "reset" or "silent".
  void SetStoreFor(int daemon, const std::string& state);
  /// Calls to the store so far, by daemon. Requires FleetOptions::own_stores.
  std::vector<int> StoreCalls();

  /// @param order See POST /control/drill of fleet_standin.
  void Drill(const nlohmann::json& order);

  /// Kills a daemon, if it still runs, and starts it again at the addresses
  /// that it had.
  /// @param wait Whether to wait until it's ready, which takes the platform.
  void Restart(int daemon, bool wait = true);
  Process& daemon(int index) {
    return *m_daemons[static_cast<std::size_t>(index)];
  }
  /// Starts one more daemon. @return Its index.
  int Add();
  Link& platform_link(int daemon) {
    return *m_links[static_cast<std::size_t>(daemon)];
  }
  /// Waits until a line of a daemon's log has all of some texts.
  bool WaitForLog(int daemon, const std::vector<std::string>& texts);
  std::string Log(int daemon) {
    return m_daemons[static_cast<std::size_t>(daemon)]->Log();
  }
  double Metric(int daemon, const std::string& name);

 private:
  std::unique_ptr<Process> Start(int index);
  bool Ready(int daemon);
  std::vector<std::string> StoreAddresses();

  FleetOptions m_options;
  TemporaryFolder m_folder;
  Process m_standin;
  std::vector<std::unique_ptr<Link>> m_links;
  /// Sections [listen] of the daemons' settings.
  std::vector<std::string> m_listen;
  std::vector<std::unique_ptr<Process>> m_daemons;
  std::atomic<int> m_requests{0};
};

}  // namespace clementine::testing

#endif  // TESTING_PROCESS_FLEET_H_
