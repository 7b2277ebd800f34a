// Command line of clementinectl.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <vector>

#include "ctl/access.h"
#include "ctl/ctl.h"
#include "net/net.h"

namespace clementine::ctl {
namespace {

struct Arguments {
  PlatformAccess access;
  std::string config_file;
  ApplyOptions apply;  // Its files are those of every command.
  double timeout_seconds = 30;
  std::uint64_t expect = 0;
  bool json = false;
};

std::string DefaultAuthor() {
  for (const char* name : {"USER", "LOGNAME"}) {
    const char* value = std::getenv(name);
    if (value != nullptr && *value != '\0') return value;
  }
  return "unknown";
}

void AddFiles(CLI::App* command, Arguments* arguments) {
  command->add_option("file", arguments->apply.files, "Declarative files")
      ->required();
}

void AddApplyOptions(CLI::App* command, Arguments* arguments) {
  command->add_flag("--wait", arguments->apply.wait,
                    "Return when the change is in force everywhere");
  command
      ->add_option("--timeout", arguments->timeout_seconds,
                   "Longest time of the command, in seconds")
      ->check(CLI::Range(0.1, 86400.0))
      ->capture_default_str();
  command
      ->add_option("--author", arguments->apply.author,
                   "Name recorded with the change")
      ->check([](const std::string& author) {
        bool valid = !author.empty() && author.size() <= 200 &&
                     Printable(author) == author;
        return valid ? "" : "must have 1 to 200 printable characters";
      })
      ->capture_default_str();
  command->add_option("--expect", arguments->expect,
                      "Apply only if this generation is the accepted one");
}

int Dispatch(const CLI::App& app, Arguments* arguments) {
  Session session = OfflineSession();
  if (app.got_subcommand("check")) {
    return Check(arguments->apply.files, session);
  }
  int code =
      CompleteAccess(arguments->config_file, session, &arguments->access);
  if (code != kExitOk) return code;
  session = OnlineSession(arguments->access);
  if (app.got_subcommand("diff")) return Diff(arguments->apply.files, session);
  if (app.got_subcommand("status")) return Status(arguments->json, session);
  arguments->apply.timeout = std::chrono::milliseconds(
      static_cast<std::int64_t>(arguments->timeout_seconds * 1000));
  if (app.get_subcommand("apply")->count("--expect") > 0) {
    arguments->apply.expect = arguments->expect;
  }
  return Apply(arguments->apply, session);
}

int Run(int argc, char** argv) {
  Arguments arguments;
  arguments.apply.author = DefaultAuthor();
  CLI::App app("Declares and watches what clementinelb serves");
  app.set_version_flag("--version", CLEMENTINE_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  app.add_option("--platform", arguments.access.address,
                 "IP:port of the platform's API");
  app.add_option("--token", arguments.access.token,
                 "Platform token; visible to other users of this machine, "
                 "CLEMENTINE_PLATFORM_TOKEN isn't");
  app.add_option("--config", arguments.config_file,
                 "INI file with [platform] address and token");
  AddFiles(app.add_subcommand("check", "Check files without the platform"),
           &arguments);
  AddFiles(app.add_subcommand("diff", "Compare files with what is accepted"),
           &arguments);
  CLI::App* apply = app.add_subcommand("apply", "Apply all files or nothing");
  AddFiles(apply, &arguments);
  AddApplyOptions(apply, &arguments);
  app.add_subcommand("status", "Show the state of all data centres")
      ->add_flag("--json", arguments.json, "Print one JSON document");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }
  return Dispatch(app, &arguments);
}

}  // namespace
}  // namespace clementine::ctl

int main(int argc, char** argv) {
  clementine::LogTo(STDERR_FILENO);
  try {
    return clementine::ctl::Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "clementinectl: %s\n", error.what());
    return clementine::ctl::kExitUsage;
  }
}
