// Compares files with what is in force: sections by digest, and changed
// sections line by line, which their canonical form makes meaningful.

#include <algorithm>
#include <map>
#include <sstream>

#include "ctl/ctl.h"
#include "fmt/format.h"

namespace clementine::ctl {
namespace {

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

void PrintMissing(const char* mark, const std::vector<std::string>& lines,
                  const std::vector<std::string>& others,
                  const Session& session) {
  for (const std::string& line : lines) {
    if (std::find(others.begin(), others.end(), line) == others.end()) {
      session.out(fmt::format("    {} {}", mark, Printable(line)));
    }
  }
}

}  // namespace

std::string FormatChange(const SectionChange& change) {
  char mark = '~';
  if (change.kind == SectionChange::Kind::kAdded) mark = '+';
  if (change.kind == SectionChange::Kind::kRemoved) mark = '-';
  return fmt::format("{} {}", mark, Printable(change.name));
}

std::string FormatHead(const ConfigHead& head) {
  if (head.generation == 0) return "accepted: nothing so far";
  return fmt::format("accepted: generation {} by {}", head.generation,
                     Printable(head.author));
}

ConfigHead HeadOf(const std::vector<ConfigSection>& sections) {
  ConfigHead head;
  for (const ConfigSection& section : sections) {
    head.sections[section.name] = section.digest;
  }
  return head;
}

int ReadHead(const Session& session, CurrentHead* current) {
  ObjectReply reply = session.get(kHeadKey);
  if (reply.status == ObjectStatus::kNotFound) {
    *current = {};
    return kExitOk;
  }
  if (reply.status != ObjectStatus::kOk) {
    session.error("the platform can't be reached; nothing was changed");
    return kExitUnavailable;
  }
  try {
    *current = {DecodeHead(reply.value), reply.version};
    return kExitOk;
  } catch (const std::runtime_error& error) {
    session.error(fmt::format("object {}: {}", kHeadKey, error.what()));
    return kExitDamaged;
  }
}

int Diff(const std::vector<std::string>& files, const Session& session) {
  Configuration configuration;
  int code = LoadFiles(files, session, &configuration);
  if (code != kExitOk) return code;
  CurrentHead current;
  code = ReadHead(session, &current);
  if (code != kExitOk) return code;
  session.out(FormatHead(current.head));
  std::vector<ConfigSection> sections = SplitSections(configuration);
  std::map<std::string, std::string> texts;
  for (const ConfigSection& section : sections) {
    texts[section.name] = section.text;
  }
  auto changes = DiffHeads(current.head, HeadOf(sections));
  for (const SectionChange& change : changes) {
    session.out(FormatChange(change));
    if (change.kind != SectionChange::Kind::kChanged) continue;
    ObjectReply old =
        session.get(kSectionPrefix + current.head.sections.at(change.name));
    if (old.status != ObjectStatus::kOk) {
      session.out("    (the accepted text can't be read)");
      continue;
    }
    PrintMissing("-", Lines(old.value), Lines(texts[change.name]), session);
    PrintMissing("+", Lines(texts[change.name]), Lines(old.value), session);
  }
  session.out(changes.empty()
                  ? "no differences"
                  : fmt::format("{} sections differ", changes.size()));
  return kExitOk;
}

}  // namespace clementine::ctl
