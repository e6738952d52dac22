//===- printing.h - Objects and tables as text ------------------*- C++ -*-===//
///
/// \file
/// The forms in which verbs print.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_PRINTING_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_PRINTING_H

#include "verb.h"

namespace marjoramrail::ctl {

/// One object on one line of JSON: kind, name, version, writer and spec.
std::string toLine(const platform_object &Object);

/// The same, indented, in the form that apply reads back.
std::string toPage(const platform_object &Object);

/// A table whose columns are as wide as their widest cell.
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

/// "2026-12-02T23:17:04.123Z".
std::string wallText(std::int64_t WallMs);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_PRINTING_H
