//===- membership_codec.h - Encodings of a membership -----------*- C++ -*-===//
///
/// \file
/// Encodes a membership as arrays, for datagrams, and as a JSON object, for the
/// platform, where operators and tools read it.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_MEMBERSHIP_CODEC_H
#define MARJORAMRAIL_FLEET_MEMBERSHIP_CODEC_H

#include "marjoramrail/fleet.h"

#include <nlohmann/json_fwd.hpp>

namespace marjoramrail::internal {

nlohmann::json packMembership(const membership &Members);

/// Throws nlohmann's exceptions on wrong types; decode() catches them.
membership unpackMembership(const nlohmann::json &Packed);

/// Returns the body of the platform object.
std::string toBody(const membership &Members);

/// Fails with step::ReadPlatform.
result<membership> parseBody(const std::string &Body, const std::string &Name);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_MEMBERSHIP_CODEC_H
