// clementined: the daemon of an entry host.
//
// Exit codes: 0 graceful stop; 1 the daemon can't start, for instance because
// an address is in use; 2 the command line or the settings are invalid.

#include <sys/resource.h>
#ifdef __GLIBC__
#include <malloc.h>
#endif

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "config/config.h"
#include "daemon/daemon.h"
#include "daemon/fleet_daemon.h"
#include "net/net.h"

namespace clementine {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

/// Raises the soft limit of file descriptors to the hard limit. Connections to
/// callers and backend servers need more descriptors than the default soft
/// limit.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

/// Makes the memory of large blocks go back to the system when they are freed.
/// By default, the threshold rises to the largest block that was ever freed, so
/// that freed bodies stay resident.
void FixAllocatorThresholds() {
#ifdef __GLIBC__
  constexpr int kThresholdBytes = 32'768;
  ::mallopt(M_MMAP_THRESHOLD, kThresholdBytes);
  ::mallopt(M_TRIM_THRESHOLD, kThresholdBytes);
#endif
}

/// Runs a daemon until its graceful stop is complete.
template <typename AnyDaemon>
int Serve(Settings settings) {
  boost::asio::io_context io(1);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  AnyDaemon daemon(&io, std::move(settings));
  LogEvent("started", {{"version", CLEMENTINE_VERSION},
                       {"node", daemon.node()},
                       {"listen", daemon.listen_address()},
                       {"peer_listen", daemon.peer_address()},
                       {"health", daemon.health_address()},
                       {"pid", std::to_string(::getpid())}});
  // Further signals are caught and ignored, so that a stop is always graceful.
  signals.async_wait(
      [&daemon](const boost::system::error_code& error, int /*signal*/) {
        if (!error) daemon.Stop();
      });
  io.run();
  return 0;
}

int Run(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::fprintf(stderr, "%s: can't read the settings file\n", path.c_str());
    return kExitUsage;
  }
  std::ostringstream text;
  text << file.rdbuf();
  SettingsResult parsed = ParseSettings({path, text.str()});
  for (const Finding& finding : parsed.findings) {
    std::fprintf(stderr, "%s\n", FormatFinding(finding).c_str());
  }
  if (!parsed.findings.empty()) return kExitUsage;
  RaiseDescriptorLimit();
  FixAllocatorThresholds();
  std::signal(SIGPIPE, SIG_IGN);
  // Settings are read at start only. SIGHUP is ignored because there is no
  // reload.
  std::signal(SIGHUP, SIG_IGN);
  if (parsed.settings.interface == "relay") {
    return Serve<FleetDaemon>(std::move(parsed.settings));
  }
  return Serve<Daemon>(std::move(parsed.settings));
}

}  // namespace
}  // namespace clementine

int main(int argc, char** argv) {
  CLI::App app{
      "clementined: daemon of an entry host.\n"
      "Exit codes: 0 graceful stop, 1 can't start, 2 invalid command line or "
      "settings."};
  std::string path;
  app.add_option("--config", path, "INI file with the daemon's settings")
      ->required();
  app.set_version_flag("--version", CLEMENTINE_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : clementine::kExitUsage;
  }
  try {
    return clementine::Run(path);
  } catch (const std::exception& error) {
    clementine::LogEvent("start_failed", {{"error", error.what()}});
    return clementine::kExitFailed;
  }
}
