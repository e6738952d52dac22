//===- printing.h - Objects and tables as text ------------------*- C++ -*-===//
///
/// \file
/// The output formats of the verbs.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_PRINTING_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_PRINTING_H

#include "verb.h"

namespace marjoramrail::ctl {

/// Formats an object as one line of JSON: kind, name, version, writer and spec.
std::string toLine(const platform_object &Object);

/// Formats an object as indented JSON that apply can read.
std::string toPage(const platform_object &Object);

/// A text table. Each column is as wide as its widest cell.
class text_table {
public:
  explicit text_table(std::vector<std::string> Heads) {
    Rows.push_back(std::move(Heads));
  }
  void add(std::vector<std::string> Cells) { Rows.push_back(std::move(Cells)); }
  std::vector<std::string> lines() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

/// Formats a time in UTC: "2026-12-02T23:17:04.123Z".
std::string wallText(std::int64_t WallMs);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_PRINTING_H
