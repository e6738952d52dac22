//===- page_fetcher.h - Gets a page of a process's status -------*- C++ -*-===//
///
/// \file
/// One GET over libevent's HTTP client.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_PAGE_FETCHER_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_PAGE_FETCHER_H

#include "verb.h"

namespace marjoramrail::ctl {

/// Calls \p Done once, later, with the page's body or with step::Receive.
void fetchPage(event_loop &Loop, const endpoint &Process,
               const std::string &Path, duration Timeout, page_callback Done);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_PAGE_FETCHER_H
