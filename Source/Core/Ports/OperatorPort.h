#pragma once

/// Port for operators: administration API, health and metrics.

#include "Common/Registry.h"

#include <functional>
#include <memory>
#include <string>

namespace Ports {

/// A call of the administration API, already read from HTTP.
struct OperatorRequest {
    std::string method; ///< Upper case.
    std::string path; ///< Without the query.
    std::string query; ///< Without the question mark.
    std::string body;
    std::string bearerToken; ///< Empty if none was sent.
};

/// HTTP response to a call.
struct OperatorReply {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

using OperatorReplyCallback = std::function<void(OperatorReply)>;

/// Handles calls. The callback is called exactly once, possibly later and on another thread.
class OperatorSink {
public:
    virtual ~OperatorSink() = default;
    virtual void onOperatorRequest(OperatorRequest, OperatorReplyCallback) = 0;
};

/// Settings of the listener for operators.
struct OperatorSettings {
    std::string listenAddress; ///< "ip:port".
    std::size_t maximumBodyBytes = 16 << 20;
};

/// Serves operators. Thread-safe.
class OperatorPort {
public:
    virtual ~OperatorPort() = default;
    /// Starts to listen. Throws Ports::PortError if it can't listen on the address.
    virtual void start(OperatorSink&) = 0;
    virtual void stop() = 0;
};

using OperatorPortRegistry = Common::Registry<OperatorPort, const OperatorSettings&>;
using OperatorPortRegistration = Common::Registration<OperatorPort, const OperatorSettings&>;

} // namespace Ports
