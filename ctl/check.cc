// Reading files, and the command that does nothing else.

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

#include "config/ini_file.h"
#include "ctl/ctl.h"
#include "fmt/format.h"

namespace clementine::ctl {
namespace {

// Reads at most one byte more than the parser accepts; the parser reports the
// size. Returns false when the file can't be read.
bool ReadSource(const std::string& name, SourceFile* file) {
  file->name = name;
  std::ifstream stream(name, std::ios::binary);
  if (!stream) return false;
  file->text.resize(kMaxFileBytes + 1);
  stream.read(file->text.data(),
              static_cast<std::streamsize>(file->text.size()));
  file->text.resize(static_cast<std::size_t>(stream.gcount()));
  return !stream.bad();
}

}  // namespace

std::string Printable(const std::string& text) {
  std::string printable = text;
  for (char& c : printable) {
    auto byte = static_cast<unsigned char>(c);
    if (byte < ' ' || byte == 0x7f) c = '?';
  }
  return printable;
}

int LoadFiles(const std::vector<std::string>& files, const Session& session,
              Configuration* configuration) {
  std::vector<SourceFile> sources(files.size());
  for (std::size_t i = 0; i < files.size(); ++i) {
    errno = 0;
    if (ReadSource(files[i], &sources[i])) continue;
    session.error(
        fmt::format("can't read {}: {}", files[i], std::strerror(errno)));
    return kExitUsage;
  }
  ParseResult result = ParseConfiguration(sources);
  for (const Finding& finding : result.findings) {
    session.error(Printable(FormatFinding(finding)));
  }
  if (!result.findings.empty()) {
    session.error(fmt::format("{} findings", result.findings.size()));
    return kExitFindings;
  }
  *configuration = std::move(result.configuration);
  return kExitOk;
}

int Check(const std::vector<std::string>& files, const Session& session) {
  Configuration configuration;
  int code = LoadFiles(files, session, &configuration);
  if (code != kExitOk) return code;
  session.out(fmt::format(
      "valid: {} models, {} groups, {} organisations, {} routes, {} services",
      configuration.models.size(), configuration.groups.size(),
      configuration.organisations.size(), configuration.routes.size(),
      configuration.services.size()));
  return kExitOk;
}

}  // namespace clementine::ctl
