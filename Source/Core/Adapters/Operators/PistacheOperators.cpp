#include "Adapters/Operators/PistacheOperators.h"

#include "Adapters/Callers/TextHeader.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstring>
#include <pistache/endpoint.h>
#include <utility>

namespace Adapters {
namespace {

    namespace Http = Pistache::Http;

    constexpr int threadCount = 1;
    constexpr std::size_t headerAllowanceBytes = 65536;
    constexpr std::chrono::seconds readTimeout { 30 };
    constexpr const char* bearerPrefix = "Bearer ";

    /// A response writer that is used only once, even if several copies of the callback run.
    struct OnceWriter {
        explicit OnceWriter(Http::ResponseWriter responseWriter)
            : writer(std::move(responseWriter))
        {
        }

        Http::ResponseWriter writer;
        std::atomic_flag used = ATOMIC_FLAG_INIT;
    };

    void write(OnceWriter& once, const Ports::OperatorReply& reply)
    {
        if (once.used.test_and_set())
            return;
        addHeader(once.writer, "Content-Type", reply.contentType);
        // The returned promise is ignored: the library resolves it without a lock, so other threads must not chain to it.
        once.writer.send(static_cast<Http::Code>(reply.status), reply.body);
    }

    std::string bearerTokenOf(const Http::Request& request)
    {
        std::string value;
        if (const auto header = request.headers().tryGet<Http::Header::Authorization>())
            value = header->value();
        else if (const auto raw = request.headers().tryGetRaw("Authorization"))
            value = raw->value();
        if (!value.starts_with(bearerPrefix))
            return {};
        return value.substr(std::strlen(bearerPrefix));
    }

    Ports::OperatorRequest readRequest(const Http::Request& request)
    {
        Ports::OperatorRequest result;
        result.method = Http::methodString(request.method());
        result.path = request.resource();
        const auto query = request.query().as_str();
        result.query = query.empty() ? query : query.substr(1);
        result.body = request.body();
        result.bearerToken = bearerTokenOf(request);
        return result;
    }

    /// Pistache makes one copy for each of its threads.
    class Handler final : public Http::Handler {
        HTTP_PROTOTYPE(Handler)

    public:
        Handler(Ports::OperatorSink& sink, std::size_t maximumBodyBytes)
            : m_sink(&sink)
            , m_maximumBodyBytes(maximumBodyBytes)
        {
        }

        void onRequest(const Http::Request& request, Http::ResponseWriter writer) override
        {
            const auto once = std::make_shared<OnceWriter>(std::move(writer));
            if (request.body().size() > m_maximumBodyBytes) {
                write(*once, { 413, "application/json", "{\"error\":\"body too large\"}\n" });
                return;
            }
            m_sink->onOperatorRequest(readRequest(request), [once](const Ports::OperatorReply& reply) { write(*once, reply); });
        }

    private:
        Ports::OperatorSink* m_sink;
        std::size_t m_maximumBodyBytes;
    };

} // namespace

class PistacheOperators::Private {
public:
    explicit Private(Ports::OperatorSettings settings)
        : m_settings(std::move(settings))
    {
    }

    void start(Ports::OperatorSink& sink)
    {
        std::signal(SIGPIPE, SIG_IGN);
        try {
            m_endpoint = std::make_unique<Http::Endpoint>(Pistache::Address(m_settings.listenAddress));
            m_endpoint->init(Http::Endpoint::options()
                                 .threads(threadCount)
                                 .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                                 .maxRequestSize(m_settings.maximumBodyBytes + headerAllowanceBytes)
                                 .headerTimeout(readTimeout)
                                 .bodyTimeout(readTimeout));
            m_endpoint->setHandler(std::make_shared<Handler>(sink, m_settings.maximumBodyBytes));
            m_endpoint->serveThreaded();
        } catch (const std::exception& ex) {
            m_endpoint.reset();
            throw Ports::PortError("operators at " + m_settings.listenAddress + ": " + ex.what());
        }
    }

    void stop()
    {
        if (m_endpoint)
            m_endpoint->shutdown();
        m_endpoint.reset();
    }

private:
    Ports::OperatorSettings m_settings;
    std::unique_ptr<Http::Endpoint> m_endpoint;
};

PistacheOperators::PistacheOperators(std::unique_ptr<Private> impl)
    : m_impl(std::move(impl))
{
}

PistacheOperators::~PistacheOperators() { stop(); }

Common::Result<std::unique_ptr<PistacheOperators>, Ports::PortError> PistacheOperators::create(const Ports::OperatorSettings& settings)
{
    if (settings.maximumBodyBytes == 0)
        return Ports::PortError("operators: maximumBodyBytes must be at least 1");
    return std::unique_ptr<PistacheOperators>(new PistacheOperators(std::make_unique<Private>(settings)));
}

void PistacheOperators::start(Ports::OperatorSink& sink) { m_impl->start(sink); }

void PistacheOperators::stop() { m_impl->stop(); }

namespace {

    const Ports::OperatorPortRegistration registration("pistache", [](const Ports::OperatorSettings& settings) -> std::unique_ptr<Ports::OperatorPort> {
        auto port = PistacheOperators::create(settings);
        if (!port)
            throw port.error();
        return port.take();
    });

} // namespace

} // namespace Adapters
