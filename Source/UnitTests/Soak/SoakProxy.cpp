#include "SoakProxy.h"

#include <array>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <uv.h>

namespace {

constexpr int backlog = 128;
constexpr std::size_t readBytes = 65536;

sockaddr_in loopback(unsigned port)
{
    sockaddr_in address {};
    uv_ip4_addr("127.0.0.1", static_cast<int>(port), &address);
    return address;
}

} // namespace

class SoakProxy::Private : public std::enable_shared_from_this<SoakProxy::Private> {
public:
    /// The sockets of one proxied connection; kept alive until both are closed.
    struct Pair : std::enable_shared_from_this<Pair> {
        struct Side {
            uv_tcp_t socket {};
            std::shared_ptr<Pair> self; ///< Keeps the pair alive until this socket is closed.
            std::array<char, readBytes> buffer {};
            bool isClient = false; ///< The socket is that of the client.
        };
        std::shared_ptr<Private> owner;
        Side client;
        Side server;
        bool isClosed = false;
    };

    Private(Adapters::EventLoop& eventLoop, unsigned target)
        : loop(eventLoop)
        , targetPort(target)
    {
        uv_tcp_init(loop.handle(), &m_listener);
        m_listener.data = this;
        const auto address = loopback(0);
        uv_tcp_bind(&m_listener, reinterpret_cast<const sockaddr*>(&address), 0);
        const auto accept = [](uv_stream_t* it, int status) {
            if (status == 0)
                static_cast<Private*>(it->data)->onConnection();
        };
        if (uv_listen(reinterpret_cast<uv_stream_t*>(&m_listener), backlog, accept) != 0)
            throw std::runtime_error("the proxy can't listen on a free loopback port");
    }

    unsigned port() const
    {
        sockaddr_in address {};
        int size = sizeof address;
        uv_tcp_getsockname(&m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    void onConnection()
    {
        auto pair = std::make_shared<Pair>();
        pair->owner = shared_from_this();
        pair->client.isClient = true;
        for (auto* side : { &pair->client, &pair->server }) {
            uv_tcp_init(loop.handle(), &side->socket);
            side->socket.data = side;
            side->self = pair;
        }
        m_pairs.insert(pair);
        if (uv_accept(reinterpret_cast<uv_stream_t*>(&m_listener), reinterpret_cast<uv_stream_t*>(&pair->client.socket)) != 0) {
            close(*pair);
            return;
        }
        const auto address = loopback(targetPort);
        auto* request = new uv_connect_t;
        request->data = new std::shared_ptr<Pair>(pair);
        uv_tcp_connect(request, &pair->server.socket, reinterpret_cast<const sockaddr*>(&address), [](uv_connect_t* it, int status) {
            const std::unique_ptr<std::shared_ptr<Pair>> keepAlive(static_cast<std::shared_ptr<Pair>*>(it->data));
            delete it;
            if (status != 0)
                (*keepAlive)->owner->close(**keepAlive);
            else if (!(*keepAlive)->isClosed)
                (*keepAlive)->owner->startReading(**keepAlive);
        });
    }

    void startReading(Pair& pair)
    {
        for (auto* side : { &pair.client, &pair.server }) {
            const auto allocate = [](uv_handle_t* it, std::size_t, uv_buf_t* buf) {
                auto& buffer = static_cast<Pair::Side*>(it->data)->buffer;
                *buf = uv_buf_init(buffer.data(), static_cast<unsigned>(buffer.size()));
            };
            const auto read = [](uv_stream_t* it, ssize_t size, const uv_buf_t* buf) {
                auto* from = static_cast<Pair::Side*>(it->data);
                const auto keepAlive = from->self;
                if (size < 0)
                    keepAlive->owner->close(*keepAlive);
                else if (size > 0)
                    keepAlive->owner->relay(*keepAlive, *from, std::string(buf->base, static_cast<std::size_t>(size)));
            };
            uv_read_start(reinterpret_cast<uv_stream_t*>(&side->socket), allocate, read);
        }
    }

    void relay(Pair& pair, const Pair::Side& from, std::string bytes)
    {
        if (from.isClient ? fault.dropsClientBytes : fault.dropsServerBytes)
            return;
        auto keepAlive = pair.shared_from_this();
        auto* to = from.isClient ? &pair.server : &pair.client;
        if (fault.delay.count() == 0)
            write(*keepAlive, *to, std::move(bytes));
        else
            loop.after(fault.delay, [keepAlive, to, bytes = std::move(bytes)]() mutable { keepAlive->owner->write(*keepAlive, *to, std::move(bytes)); });
    }

    void write(Pair& pair, Pair::Side& to, std::string bytes)
    {
        if (pair.isClosed)
            return;
        struct Write {
            uv_write_t request {};
            std::string bytes;
        };
        auto* it = new Write;
        it->bytes = std::move(bytes);
        it->request.data = it;
        auto buf = uv_buf_init(it->bytes.data(), static_cast<unsigned>(it->bytes.size()));
        const auto done = [](uv_write_t* request, int) { delete static_cast<Write*>(request->data); };
        if (uv_write(&it->request, reinterpret_cast<uv_stream_t*>(&to.socket), &buf, 1, done) != 0)
            delete it;
    }

    void close(Pair& pair)
    {
        if (std::exchange(pair.isClosed, true))
            return;
        const auto keepAlive = pair.shared_from_this();
        m_pairs.erase(keepAlive);
        for (auto* side : { &pair.client, &pair.server })
            uv_close(reinterpret_cast<uv_handle_t*>(&side->socket), [](uv_handle_t* it) { static_cast<Pair::Side*>(it->data)->self.reset(); });
    }

    void reset()
    {
        while (!m_pairs.empty())
            close(**m_pairs.begin());
    }

    void shutdown()
    {
        reset();
        if (!std::exchange(m_isShutDown, true))
            uv_close(reinterpret_cast<uv_handle_t*>(&m_listener), nullptr);
    }

    Adapters::EventLoop& loop;
    unsigned targetPort;
    ProxyFault fault;

private:
    uv_tcp_t m_listener {};
    std::set<std::shared_ptr<Pair>> m_pairs;
    bool m_isShutDown = false;
};

SoakProxy::SoakProxy(Adapters::EventLoop& loop, unsigned targetPort)
    : m_impl(std::make_shared<Private>(loop, targetPort))
{
}

SoakProxy::~SoakProxy() = default;

unsigned SoakProxy::port() const { return m_impl->port(); }

void SoakProxy::setFault(const ProxyFault& fault) { m_impl->fault = fault; }

void SoakProxy::reset() { m_impl->reset(); }

void SoakProxy::shutdown() { m_impl->shutdown(); }
