#pragma once

/// HTTP by libcurl's easy interface.

#include "Common/Result.h"
#include "CtlError.h"
#include "HttpTransport.h"

#include <memory>

namespace Ctl {

/// Opens a connection for each exchange, so that libcurl never sends a request again by itself.
class CurlTransport : public HttpTransport {
public:
    static Common::Result<std::unique_ptr<CurlTransport>, CtlError> create();
    ~CurlTransport() override;

    HttpReply exchange(const HttpRequest&) override;

private:
    class Private;
    explicit CurlTransport(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Ctl
