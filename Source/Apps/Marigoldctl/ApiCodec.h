#pragma once

/// JSON of the administration API to typed values and back. Unknown fields are ignored.

#include "ApiTypes.h"
#include "Common/Error.h"

#include <string>
#include <vector>

namespace Ctl {

/// An answer that isn't as documented.
class CodecError : public Common::Error {
public:
    using Common::Error::Error;
};

std::string encodePublish(const PublishCall&);
std::string encodeMove(const MoveCall&);

/// Each throws CodecError for text that isn't the answer expected.
FleetStatus decodeStatus(const std::string&);
std::vector<UpstreamPlace> decodePools(const std::string&);
Configuration decodeConfiguration(const std::string&);
PublishAnswer decodePublish(const std::string&);
std::vector<AuditEntry> decodeAudit(const std::string&);
std::vector<WaveStatus> decodeWaves(const std::string&);

/// The server's own message in an error answer; the text itself when it has none.
std::string decodeProblem(const std::string&);

} // namespace Ctl
