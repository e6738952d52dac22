//===- request_head.h - Parsing and rewriting request headers ---*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_REQUEST_HEAD_H
#define MARJORAMRAIL_SRC_PROXY_REQUEST_HEAD_H

#include "marjoramrail/proxy.h"

namespace marjoramrail::internal {

/// Extracts from the header of a request what admission needs.
work_request readWork(const h2_head &Head, const flow_origin &Origin,
                      const proxy_settings &Settings, request_id Id,
                      instant Now);

/// Returns the header to be sent to the target: the deadline is replaced by the
/// remaining time, and the agents' internal headers are removed.
h2_head headForTarget(const h2_head &Head, const work_request &Work,
                      instant Now);

/// Returns the header to be sent to a peer agent.
h2_head headForPeer(const h2_head &Head, const work_request &Work, host_id Self,
                    instant Now);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_REQUEST_HEAD_H
