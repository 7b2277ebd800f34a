// The operators' tool. Each command is a function over a Session, which holds
// everything that reaches outside: output, the platform's objects, time and
// random ids. main.cc builds the real one.
#ifndef CTL_CTL_H_
#define CTL_CTL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/core.h"

namespace clementine::ctl {

/// Exit codes, for scripts; docs/ctl.md lists them.
enum ExitCode : int {
  kExitOk = 0,
  kExitFindings = 1,     ///< The files have faults.
  kExitUsage = 2,        ///< Wrong options or an unreadable file.
  kExitConflict = 3,     ///< Another apply was accepted first.
  kExitUnavailable = 4,  ///< Platform not reached; nothing was changed.
  kExitTimedOut = 5,     ///< Accepted, but not in force everywhere in time.
  kExitUnknown = 6,      ///< It can't be told whether the apply was accepted.
  kExitDamaged = 7,      ///< An object on the platform can't be understood.
};

inline constexpr char kHeadKey[] = "config/head";
inline constexpr char kSectionPrefix[] = "config/section/";
inline constexpr char kStatusPrefix[] = "status/";

struct Session {
  /// Print one line each; the newline is added.
  std::function<void(const std::string& line)> out;
  std::function<void(const std::string& line)> error;

  std::function<ObjectReply(const std::string& key)> get;
  std::function<ObjectReply(const PutObject& put)> put;
  std::function<std::optional<ObjectsChanged>(const std::string& prefix)> list;

  std::function<TimePoint()> now;
  std::function<void(milliseconds time)> sleep;
  std::function<std::string()> new_apply_id;
};

struct ApplyOptions {
  std::vector<std::string> files;
  std::string author;
  bool wait = false;
  std::chrono::milliseconds timeout{30'000};
  /// Generation that must be in force before, if given.
  std::optional<std::uint64_t> expect;
};

/// Each command prints its result and returns an ExitCode.
int Check(const std::vector<std::string>& files, const Session& session);
int Diff(const std::vector<std::string>& files, const Session& session);
int Apply(const ApplyOptions& options, const Session& session);
int Status(bool json, const Session& session);

/// Waits until a generation is in force in every data centre that reports a
/// status or that a group of `configuration` names.
int WaitInForce(std::uint64_t generation, const Configuration& configuration,
                std::chrono::milliseconds timeout, const Session& session);

/// Reads and parses files; prints all findings.
/// @return kExitOk, kExitFindings or kExitUsage.
int LoadFiles(const std::vector<std::string>& files, const Session& session,
              Configuration* configuration);

/// The head in force and its object's version; generation 0 and version 0 when
/// nothing was applied yet.
struct CurrentHead {
  ConfigHead head;
  std::uint64_t version = 0;
};

/// Reads the head; prints a failure.
/// @return kExitOk, kExitUnavailable or kExitDamaged.
int ReadHead(const Session& session, CurrentHead* current);

/// The head that lists `sections`, without generation, id and author.
ConfigHead HeadOf(const std::vector<ConfigSection>& sections);

/// Describes a head as "accepted: generation 7 by nikos".
std::string FormatHead(const ConfigHead& head);

/// Describes a change as "+ model chat", "- ..." or "~ ...".
std::string FormatChange(const SectionChange& change);

/// Replaces control characters, which could change a terminal's state.
std::string Printable(const std::string& text);

}  // namespace clementine::ctl

#endif  // CTL_CTL_H_
