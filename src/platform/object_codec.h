//===- object_codec.h - Objects of the platform as JSON ---------*- C++ -*-===//
///
/// \file
/// The JSON forms of platform.h, shared by the client and the stand-in.
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

/// Whether \p Text can be a kind or a name.
bool isKeyPart(std::string_view Text);

/// Whether \p Text can be a writer: what one header field carries unchanged.
bool isWriter(std::string_view Text);

/// The JSON text of one object.
std::string encodeObject(const platform_object &Object);

/// The JSON text of a list or a watch.
std::string encodeObjects(const platform_reply &Reply);

std::optional<platform_object> decodeObject(std::string_view Text);

/// Fills in Objects and StoreVersion; false if \p Text is not a list.
bool decodeObjects(std::string_view Text, platform_reply &Reply);

/// The text of {"reason": ...}, and back ("" if there is none).
std::string encodeReason(std::string_view Reason);
std::string decodeReason(std::string_view Text);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_PLATFORM_OBJECT_CODEC_H
