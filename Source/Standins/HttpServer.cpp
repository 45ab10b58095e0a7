#include "Standins/HttpServer.h"

#include <array>
#include <cstdio>
#include <set>
#include <utility>
#include <uv.h>

namespace Standins {

namespace {

    constexpr int listenBacklog = 512;
    constexpr std::size_t readBufferBytes = 65536;
    constexpr int badRequest = 400;

    struct WriteRequest {
        uv_write_t handle {};
        std::string bytes;
        bool closeAfter = false;
    };

    std::string headOf(const Response& response)
    {
        std::string head = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n";
        for (const auto& it : response.headers)
            head += it.name + ": " + it.value + "\r\n";
        return head;
    }

    std::string lengthLine(const Response& response)
    {
        return "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    }

    /// A connection of one client; keeps itself alive until libuv has closed its handle.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(std::set<std::shared_ptr<Connection>>& all, const Handler& handler)
            : m_all(all)
            , m_handler(handler)
        {
        }

        bool accept(uv_loop_t* loop, uv_stream_t* listener)
        {
            uv_tcp_init(loop, &m_handle);
            m_handle.data = this;
            // libuv uses the handle, a member of this object, until its close callback.
            m_self = shared_from_this();
            if (uv_accept(listener, stream()) != 0) {
                close();
                return false;
            }
            uv_tcp_nodelay(&m_handle, 1);
            uv_read_start(stream(), allocate, onRead);
            return true;
        }

        void close()
        {
            if (m_closed)
                return;
            m_closed = true;
            notifyDisconnect();
            m_all.erase(shared_from_this());
            uv_close(reinterpret_cast<uv_handle_t*>(&m_handle), [](uv_handle_t* it) { static_cast<Connection*>(it->data)->m_self.reset(); });
        }

        void write(std::string bytes, bool closeAfter)
        {
            if (m_closed)
                return;
            auto* request = new WriteRequest;
            request->bytes = std::move(bytes);
            request->closeAfter = closeAfter;
            uv_buf_t buf = uv_buf_init(request->bytes.data(), static_cast<unsigned>(request->bytes.size()));
            uv_write(&request->handle, stream(), &buf, 1, onWritten);
        }

        /// The current exchange has ended; serves the next request.
        void onExchangeEnded()
        {
            m_onDisconnect = {};
            m_busy = false;
            serveNext();
        }

        bool isClosed() const { return m_closed; }
        void setOnDisconnect(std::function<void()> callback) { m_onDisconnect = std::move(callback); }

    private:
        uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&m_handle); }

        void notifyDisconnect()
        {
            const auto callback = std::exchange(m_onDisconnect, {});
            if (callback)
                callback();
        }

        static void allocate(uv_handle_t* handle, std::size_t, uv_buf_t* buf)
        {
            auto& buffer = static_cast<Connection*>(handle->data)->m_readBuffer;
            *buf = uv_buf_init(buffer.data(), static_cast<unsigned>(buffer.size()));
        }

        static void onRead(uv_stream_t* stream, ssize_t n, const uv_buf_t* buf)
        {
            auto* self = static_cast<Connection*>(stream->data);
            if (n < 0) {
                self->close();
                return;
            }
            self->m_parser.append(std::string_view(buf->base, static_cast<std::size_t>(n)));
            self->serveNext();
        }

        static void onWritten(uv_write_t* handle, int status)
        {
            const std::unique_ptr<WriteRequest> request(reinterpret_cast<WriteRequest*>(handle));
            if (status < 0 || request->closeAfter)
                static_cast<Connection*>(handle->handle->data)->close();
        }

        void serveNext();

        std::set<std::shared_ptr<Connection>>& m_all;
        const Handler& m_handler;
        uv_tcp_t m_handle {};
        std::shared_ptr<Connection> m_self;
        std::array<char, readBufferBytes> m_readBuffer {};
        RequestParser m_parser;
        std::function<void()> m_onDisconnect;
        bool m_busy = false;
        bool m_closed = false;
    };

    /// An exchange on a connection, which it keeps alive.
    class ConnectionExchange final : public Exchange {
    public:
        ConnectionExchange(std::shared_ptr<Connection> connection, Request request)
            : m_connection(std::move(connection))
            , m_request(std::move(request))
        {
        }

        const Request& request() const override { return m_request; }

        void reply(const Response& response) override
        {
            if (!markEnded())
                return;
            m_connection->write(headOf(response) + lengthLine(response) + response.body, false);
            m_connection->onExchangeEnded();
        }

        void replyTruncated(const Response& response) override
        {
            if (!markEnded())
                return;
            m_connection->write(headOf(response) + lengthLine(response) + response.body.substr(0, response.body.size() / 2), true);
        }

        void beginStream() override
        {
            if (!m_ended)
                m_connection->write("HTTP/1.1 200 Status\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", false);
        }

        void sendChunk(std::string_view bytes) override
        {
            if (m_ended || bytes.empty())
                return;
            std::array<char, 32> size {};
            std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
            m_connection->write(std::string(size.data()).append(bytes).append("\r\n"), false);
        }

        void drop() override
        {
            if (markEnded())
                m_connection->close();
        }

        void onDisconnect(std::function<void()> callback) override
        {
            if (!m_ended)
                m_connection->setOnDisconnect(std::move(callback));
        }

    private:
        /// True for the first caller while the connection is open: it may send the end of the response.
        bool markEnded() { return !std::exchange(m_ended, true) && !m_connection->isClosed(); }

        std::shared_ptr<Connection> m_connection;
        Request m_request;
        bool m_ended = false;
    };

    void Connection::serveNext()
    {
        if (m_busy || m_closed)
            return;
        auto request = m_parser.next();
        if (m_parser.malformed()) {
            write(headOf({ badRequest, {}, {} }) + lengthLine({}), true);
            return;
        }
        if (!request)
            return;
        m_busy = true;
        const auto self = shared_from_this();
        m_handler(std::make_shared<ConnectionExchange>(self, std::move(*request)));
    }

} // namespace

class HttpServer::Private {
public:
    Private(Adapters::EventLoop& loop, unsigned port, Handler handler, std::string address)
        : m_port(port)
        , m_address(std::move(address))
        , m_loop(loop)
        , m_handler(std::move(handler))
    {
    }

    ~Private() { close(); }

    bool open()
    {
        auto* listener = new uv_tcp_t;
        uv_tcp_init(m_loop.handle(), listener);
        listener->data = this;
        m_listener = listener;
        sockaddr_in address {};
        uv_ip4_addr(m_address.c_str(), static_cast<int>(m_port), &address);
        const bool listens = uv_tcp_bind(listener, reinterpret_cast<const sockaddr*>(&address), 0) == 0
            && uv_listen(reinterpret_cast<uv_stream_t*>(listener), listenBacklog, onConnection) == 0;
        if (!listens) {
            close();
            return false;
        }
        int size = sizeof(address);
        uv_tcp_getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        return true;
    }

    void close()
    {
        if (auto* listener = std::exchange(m_listener, nullptr))
            uv_close(reinterpret_cast<uv_handle_t*>(listener), [](uv_handle_t* it) { delete reinterpret_cast<uv_tcp_t*>(it); });
        while (!m_connections.empty()) {
            const auto connection = *m_connections.begin();
            connection->close();
        }
    }

    std::size_t connectionCount() const { return m_connections.size(); }

    unsigned m_port;
    const std::string m_address;

private:
    static void onConnection(uv_stream_t* stream, int status)
    {
        auto* self = static_cast<Private*>(stream->data);
        if (status < 0)
            return;
        const auto connection = std::make_shared<Connection>(self->m_connections, self->m_handler);
        if (connection->accept(self->m_loop.handle(), stream))
            self->m_connections.insert(connection);
    }

    Adapters::EventLoop& m_loop;
    const Handler m_handler;
    uv_tcp_t* m_listener = nullptr;
    std::set<std::shared_ptr<Connection>> m_connections;
};

HttpServer::HttpServer(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

HttpServer::~HttpServer() = default;

Common::Result<std::unique_ptr<HttpServer>, StandinError> HttpServer::create(Adapters::EventLoop& loop, unsigned port, Handler handler, const std::string& address)
{
    auto state = std::make_unique<Private>(loop, port, std::move(handler), address);
    if (!state->open())
        return StandinError("can't listen on " + address + ":" + std::to_string(port));
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

unsigned HttpServer::port() const
{
    return m_private->m_port;
}

std::size_t HttpServer::connectionCount() const
{
    return m_private->connectionCount();
}

void HttpServer::shutdown()
{
    m_private->close();
}

bool HttpServer::open()
{
    return m_private->open();
}

} // namespace Standins
