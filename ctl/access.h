// Where the platform is and the Session that reaches it. Internal to ctl/.
#ifndef CTL_ACCESS_H_
#define CTL_ACCESS_H_

#include <string>

#include "ctl/ctl.h"

namespace clementine::ctl {

struct PlatformAccess {
  std::string address;
  std::string token;  ///< Never printed.
};

/// Fills what options left empty from the environment variables
/// CLEMENTINE_PLATFORM and CLEMENTINE_PLATFORM_TOKEN, then from an INI file
/// with the section [platform] and the keys address and token.
/// @param config_file Name of the file; may be empty.
/// @return kExitOk, or kExitUsage after printing what is wrong.
int CompleteAccess(const std::string& config_file, const Session& session,
                   PlatformAccess* access);

/// A session that prints to standard output and standard error and can't reach
/// the platform; enough for `check`.
Session OfflineSession();

/// A session that also reaches the platform.
Session OnlineSession(const PlatformAccess& access);

}  // namespace clementine::ctl

#endif  // CTL_ACCESS_H_
