//===- object_codec.h - JSON format of platform objects ---------*- C++ -*-===//
///
/// \file
/// The JSON formats described in platform.h, shared by the client and the
/// stand-in server.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_PLATFORM_OBJECT_CODEC_H
#define MARJORAMRAIL_PLATFORM_OBJECT_CODEC_H

#include "marjoramrail/platform.h"

#include <optional>
#include <string>
#include <string_view>

namespace marjoramrail::internal {

inline constexpr std::size_t MaxObjectBytes = 1024 * 1024;
inline constexpr std::size_t MaxKeyLength = 128;

/// Whether \p Text is valid as a kind or a name.
bool isKeyPart(std::string_view Text);

/// Whether \p Text is valid as a writer, which one header field carries
/// unchanged.
bool isWriter(std::string_view Text);

/// Encodes one object as JSON.
std::string encodeObject(const platform_object &Object);

/// Encodes the result of a list or a watch as JSON.
std::string encodeObjects(const platform_reply &Reply);

std::optional<platform_object> decodeObject(std::string_view Text);

/// Fills in Objects and StoreVersion; false if \p Text is not a valid list.
bool decodeObjects(std::string_view Text, platform_reply &Reply);

/// Encodes {"reason": ...}, and decodes it ("" if there is none).
std::string encodeReason(std::string_view Reason);
std::string decodeReason(std::string_view Text);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_PLATFORM_OBJECT_CODEC_H
