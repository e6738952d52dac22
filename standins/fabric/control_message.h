//===- control_message.h - Control of the running fabric --------*- C++ -*-===//
///
/// \file
/// Changes the settings of the fabric stand-in while it runs. A control message
/// is one UDP datagram to `control_listen` that holds a JSON object with any of
/// these fields. A field that is left out keeps its value.
///
///   {"balancers": ["127.0.0.1:4000", ...]}   balancers that get packets
///   {"drop_percent": 1}                      lost in each direction
///   {"duplicate_percent": 1}                 sent twice
///   {"delay_ms": 3, "jitter_ms": 1}          3 to 4 ms in each direction
///   {"reorder_percent": 1}                   may overtake on the same link
///   {"cut": ["127.0.0.1:4000", ...]}         drops all packets to that
///                                            balancer or from that
///                                            agent; [] ends all cuts
///   {"cut": {"127.0.0.1:4000": 50}}          drops half of these packets
///
/// The sender gets the answer {"ok": true} or {"error": "..."}. A message with
/// an error changes nothing.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_CONTROL_MESSAGE_H
#define MARJORAMRAIL_STANDINS_CONTROL_MESSAGE_H

#include "fabric_model.h"

namespace marjoramrail::standins {

/// Applies the control message \p Text to \p Model and returns the JSON answer
/// for the sender.
std::string applyControl(fabric_model &Model, std::string_view Text);

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_CONTROL_MESSAGE_H
