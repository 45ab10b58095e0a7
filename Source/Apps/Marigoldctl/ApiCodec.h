#pragma once

/// Converts between the JSON of the administration API and typed values. Unknown fields are ignored.

#include "ApiTypes.h"
#include "Common/Error.h"

#include <string>
#include <vector>

namespace Ctl {

/// An answer that can't be decoded.
class CodecError : public Common::Error {
public:
    using Common::Error::Error;
};

std::string encodePublish(const PublishRequest&);
std::string encodeMove(const MoveRequest&);

/// These throw CodecError when the text isn't a valid answer to the call.
FleetStatus decodeStatus(const std::string&);
std::vector<UpstreamAssignment> decodePools(const std::string&);
Configuration decodeConfiguration(const std::string&);
PublishAnswer decodePublish(const std::string&);
std::vector<AuditEntry> decodeAudit(const std::string&);
std::vector<WaveStatus> decodeWaves(const std::string&);

/// The field `error` of an error answer; the whole text when there is no such field. Never throws CodecError.
std::string decodeErrorMessage(const std::string&);

} // namespace Ctl
