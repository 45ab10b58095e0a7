#pragma once

/// A response header with any name. Pistache only writes typed headers, not raw ones.

#include <memory>
#include <ostream>
#include <pistache/http.h>
#include <string>
#include <utility>

namespace Adapters {

/// A typed header that writes its name and value verbatim.
class TextHeader final : public Pistache::Http::Header::Header {
public:
    TextHeader(std::string name, std::string value)
        : m_name(std::move(name))
        , m_value(std::move(value))
    {
    }

    const char* name() const override { return m_name.c_str(); }
    std::uint64_t hash() const override { return Pistache::Http::Header::detail::hash(m_name.c_str()); }
    void parse(const std::string& text) override { m_value = text; }
    void write(std::ostream& os) const override { os << m_value; }

private:
    std::string m_name;
    std::string m_value;
};

/// Adds a header to a response; call before the response is sent.
inline void addHeader(Pistache::Http::ResponseWriter& writer, const std::string& name, const std::string& value)
{
    writer.headers().add(std::make_shared<TextHeader>(name, value));
}

} // namespace Adapters
