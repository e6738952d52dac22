//===- page_fetcher.h - Fetches a status page of a process ------*- C++ -*-===//
///
/// \file
/// One HTTP GET with libevent's HTTP client.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_PAGE_FETCHER_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_PAGE_FETCHER_H

#include "verb.h"

namespace marjoramrail::ctl {

/// Calls \p Done once, after returning, with the page's body or with a failure
/// of step::Receive.
void fetchPage(event_loop &Loop, const endpoint &Process,
               const std::string &Path, duration Timeout, page_callback Done);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_PAGE_FETCHER_H
