#pragma once

/// HTTP over libcurl's easy interface.

#include "Common/Result.h"
#include "CtlError.h"
#include "HttpTransport.h"

#include <memory>

namespace Ctl {

/// Opens a new connection for each exchange: on a reused connection libcurl may resend a request by itself. Redirects aren't followed.
class CurlTransport : public HttpTransport {
public:
    /// Fails with ExitCode::Failed when libcurl can't be initialized.
    static Common::Result<std::unique_ptr<CurlTransport>, CtlError> create();
    ~CurlTransport() override;

    HttpReply exchange(const HttpRequest&) override;

private:
    class Private;
    explicit CurlTransport(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Ctl
