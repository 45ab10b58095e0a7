#pragma once

/// Port towards operators: the administration API, health and metrics.

#include "Common/Registry.h"

#include <functional>
#include <memory>
#include <string>

namespace Ports {

/// A call of the administration API.
struct OperatorRequest {
    std::string method; ///< Upper case.
    std::string path; ///< Without the query.
    std::string query; ///< Without the question mark.
    std::string body;
    std::string bearerToken; ///< Empty when none was sent.
};

/// Reply to a call.
struct OperatorReply {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

using OperatorReplyCallback = std::function<void(OperatorReply)>;

/// Handles calls; the callback may run later and on another thread, once.
class OperatorSink {
public:
    virtual ~OperatorSink() = default;
    virtual void onOperatorRequest(OperatorRequest, OperatorReplyCallback) = 0;
};

/// Where operators are listened for.
struct OperatorSettings {
    std::string listenAddress; ///< "ip:port".
    std::size_t maximumBodyBytes = 16 << 20;
};

/// Serves operators. Thread-safe.
class OperatorPort {
public:
    virtual ~OperatorPort() = default;
    /// Throws Ports::PortError when the address can't be had.
    virtual void start(OperatorSink&) = 0;
    virtual void stop() = 0;
};

using OperatorPortRegistry = Common::Registry<OperatorPort, const OperatorSettings&>;
using OperatorPortRegistration = Common::Registration<OperatorPort, const OperatorSettings&>;

} // namespace Ports
