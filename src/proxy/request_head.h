//===- request_head.h - Reading and rewriting a request's head --*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_REQUEST_HEAD_H
#define MARJORAMRAIL_SRC_PROXY_REQUEST_HEAD_H

#include "marjoramrail/proxy.h"

namespace marjoramrail::internal {

/// What admission needs to know of a request.
work_request readWork(const h2_head &Head, const flow_origin &Origin,
                      const proxy_settings &Settings, request_id Id,
                      instant Now);

/// The head as it goes to the target: the deadline is what is left of it, and
/// nothing of the agents' own headers.
h2_head headForTarget(const h2_head &Head, const work_request &Work,
                      instant Now);

/// The head as it goes to a peer agent.
h2_head headForPeer(const h2_head &Head, const work_request &Work, host_id Self,
                    instant Now);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_REQUEST_HEAD_H
