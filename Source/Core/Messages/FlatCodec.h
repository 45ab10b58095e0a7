#pragma once

/// Encodes any structure that has a visitFields() overload as one flat msgpack array. A list is its length followed by its items.

#include "Common/Time.h"
#include "Messages/TextLimit.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace Messages {

/// Shared, immutable bytes; a null pointer is encoded as nil.
using FlatBytes = std::shared_ptr<const std::string>;

template<typename T>
concept Enumeration = std::is_enum_v<T>;

/// Counts the scalars of a structure, for the array header.
class FieldCounter {
public:
    template<typename... Fields>
    void operator()(const Fields&... fields) { (count(fields), ...); }

    std::uint32_t total() const { return m_total; }

private:
    template<typename T>
    void count(const T& field)
    {
        if constexpr (requires { visitFields(*this, field); })
            visitFields(*this, field);
        else
            ++m_total;
    }

    template<typename T>
    void count(const std::vector<T>& fields)
    {
        ++m_total;
        for (const auto& field : fields)
            count(field);
    }

    std::uint32_t m_total = 0;
};

/// Output stream of the msgpack packer; appends to a string.
class StringStream {
public:
    explicit StringStream(std::string& out)
        : m_out(out)
    {
    }

    void write(const char* data, std::size_t size) { m_out.append(data, size); }

private:
    std::string& m_out;
};

/// Writes the scalars of a structure.
class FieldWriter {
public:
    explicit FieldWriter(msgpack::packer<StringStream>& packer)
        : m_packer(packer)
    {
    }

    template<typename... Fields>
    void operator()(const Fields&... fields) { (write(fields), ...); }

private:
    void write(bool field) { m_packer.pack(field); }
    void write(int field) { m_packer.pack_int64(field); }
    void write(unsigned field) { m_packer.pack_uint64(field); }
    void write(std::uint64_t field) { m_packer.pack_uint64(field); }
    void write(std::chrono::milliseconds field) { m_packer.pack_int64(field.count()); }
    void write(Common::WallTime field) { write(field.time_since_epoch()); }
    void write(Enumeration auto field) { m_packer.pack_uint64(static_cast<std::uint64_t>(field)); }

    void write(const std::string& field)
    {
        m_packer.pack_str(static_cast<std::uint32_t>(field.size()));
        m_packer.pack_str_body(field.data(), static_cast<std::uint32_t>(field.size()));
    }

    void write(const FlatBytes& field)
    {
        if (!field) {
            m_packer.pack_nil();
            return;
        }
        m_packer.pack_bin(static_cast<std::uint32_t>(field->size()));
        m_packer.pack_bin_body(field->data(), static_cast<std::uint32_t>(field->size()));
    }

    template<typename T>
    void write(const std::vector<T>& fields)
    {
        m_packer.pack_uint64(fields.size());
        for (const auto& field : fields)
            write(field);
    }

    template<typename T>
    void write(const T& field) requires requires(FieldWriter& writer) { visitFields(writer, field); }
    {
        visitFields(*this, field);
    }

    msgpack::packer<StringStream>& m_packer;
};

enum class TokenType : std::uint32_t {
    Nil,
    Boolean,
    Unsigned,
    Negative,
    Text,
    Binary,
};

/// One scalar of a frame. Texts and binaries point into the frame, which must outlive the token.
struct Token {
    union {
        std::uint64_t number;
        const char* data;
    };
    std::uint32_t size;
    TokenType type;
};
static_assert(sizeof(Token) == 16);

/// Collects the scalars of one flat array. Stops the parser at floats, extensions, maps and nested arrays.
class TokenCollector : public msgpack::null_visitor {
public:
    explicit TokenCollector(std::size_t frameBytes)
        : m_frameBytes(frameBytes)
    {
    }

    bool visit_nil() { return addNumber(TokenType::Nil, 0); }
    bool visit_boolean(bool it) { return addNumber(TokenType::Boolean, it ? 1 : 0); }
    bool visit_positive_integer(std::uint64_t it) { return addNumber(TokenType::Unsigned, it); }
    bool visit_negative_integer(std::int64_t it) { return addNumber(TokenType::Negative, static_cast<std::uint64_t>(it)); }
    bool visit_float32(float) { return false; }
    bool visit_float64(double) { return false; }
    bool visit_str(const char* data, std::uint32_t size) { return addBytes(TokenType::Text, data, size); }
    bool visit_bin(const char* data, std::uint32_t size) { return addBytes(TokenType::Binary, data, size); }
    bool visit_ext(const char*, std::uint32_t) { return false; }
    bool start_map(std::uint32_t) { return false; }

    bool start_array(std::uint32_t count)
    {
        if (m_inArray || count > m_frameBytes)
            return false;
        m_inArray = true;
        m_tokens.reserve(count);
        return true;
    }

    bool end_array()
    {
        m_complete = true;
        return true;
    }

    bool isComplete() const { return m_complete; }
    const std::vector<Token>& tokens() const { return m_tokens; }

private:
    bool addNumber(TokenType type, std::uint64_t number)
    {
        if (!m_inArray)
            return false;
        m_tokens.push_back(Token { { .number = number }, 0, type });
        return true;
    }

    bool addBytes(TokenType type, const char* data, std::uint32_t size)
    {
        if (!m_inArray)
            return false;
        m_tokens.push_back(Token { { .data = data }, size, type });
        return true;
    }

    std::size_t m_frameBytes;
    std::vector<Token> m_tokens;
    bool m_inArray = false;
    bool m_complete = false;
};

/// Assigns tokens to fields. Stops at the first token that doesn't fit its field.
class FieldReader {
public:
    explicit FieldReader(const std::vector<Token>& tokens)
        : m_tokens(tokens)
    {
    }

    template<typename... Fields>
    void operator()(Fields&... fields) { (read(fields), ...); }

    /// True if every token was read and fitted its field.
    bool isFullyRead() const { return m_isValid && m_next == m_tokens.size(); }

private:
    /// Consumes and returns the next token if it has that type. Otherwise returns null, and reading has failed.
    const Token* take(TokenType type)
    {
        if (!m_isValid || m_next == m_tokens.size() || m_tokens[m_next].type != type) {
            m_isValid = false;
            return nullptr;
        }
        return &m_tokens[m_next++];
    }

    bool nextIs(TokenType type) const { return m_isValid && m_next < m_tokens.size() && m_tokens[m_next].type == type; }

    std::uint64_t takeUnsigned(std::uint64_t maximum)
    {
        const auto* token = take(TokenType::Unsigned);
        if (!token)
            return 0;
        m_isValid = token->number <= maximum;
        return m_isValid ? token->number : 0;
    }

    std::int64_t takeSigned()
    {
        if (!nextIs(TokenType::Negative))
            return static_cast<std::int64_t>(takeUnsigned(std::numeric_limits<std::int64_t>::max()));
        return static_cast<std::int64_t>(take(TokenType::Negative)->number);
    }

    void read(bool& field)
    {
        const auto* token = take(TokenType::Boolean);
        field = token && token->number;
    }

    void read(int& field)
    {
        const auto n = takeSigned();
        m_isValid = m_isValid && std::in_range<int>(n);
        field = m_isValid ? static_cast<int>(n) : 0;
    }

    void read(unsigned& field) { field = static_cast<unsigned>(takeUnsigned(std::numeric_limits<unsigned>::max())); }
    void read(std::uint64_t& field) { field = takeUnsigned(std::numeric_limits<std::uint64_t>::max()); }
    void read(std::chrono::milliseconds& field) { field = std::chrono::milliseconds(takeSigned()); }
    void read(Common::WallTime& field) { field = Common::WallTime(std::chrono::milliseconds(takeSigned())); }

    template<Enumeration E>
    void read(E& field) { field = static_cast<E>(takeUnsigned(static_cast<std::uint64_t>(lastValue(E {})))); }

    void read(std::string& field)
    {
        const auto* token = take(TokenType::Text);
        if (!token)
            return;
        m_isValid = token->size <= maximumTextBytes;
        if (m_isValid)
            field.assign(token->data, token->size);
    }

    void read(FlatBytes& field)
    {
        if (nextIs(TokenType::Nil)) {
            ++m_next;
            return;
        }
        if (const auto* token = take(TokenType::Binary))
            field = std::make_shared<const std::string>(token->data, token->size);
    }

    template<typename T>
    void read(std::vector<T>& fields)
    {
        const auto count = takeUnsigned(m_tokens.size() - m_next);
        for (std::uint64_t n = 0; m_isValid && n < count; ++n)
            read(fields.emplace_back());
    }

    template<typename T>
    void read(T& field) requires requires(FieldReader& reader) { visitFields(reader, field); }
    {
        visitFields(*this, field);
    }

    const std::vector<Token>& m_tokens;
    std::size_t m_next = 0;
    bool m_isValid = true;
};

/// Appends the fields of a structure, encoded as one flat array.
template<typename T>
void packFields(std::string& out, const T& fields)
{
    StringStream stream(out);
    msgpack::packer<StringStream> packer(stream);
    FieldCounter counter;
    visitFields(counter, fields);
    packer.pack_array(counter.total());
    FieldWriter writer(packer);
    visitFields(writer, fields);
}

/// Collects the tokens of the flat array at `offset` and advances `offset` past it. False if there is no valid array.
/// Throws what msgpack and the allocator throw.
inline bool collectTokens(std::string_view text, std::size_t& offset, TokenCollector& collector)
{
    return msgpack::parse(text.data(), text.size(), offset, collector) && collector.isComplete();
}

/// Decodes the structure at `offset` and advances `offset` past it; nullopt if its fields don't match. Never throws.
template<typename T>
std::optional<T> unpackFields(std::string_view text, std::size_t& offset)
{
    try {
        TokenCollector collector(text.size());
        if (!collectTokens(text, offset, collector))
            return std::nullopt;
        T fields;
        FieldReader reader(collector.tokens());
        visitFields(reader, fields);
        return reader.isFullyRead() ? std::optional<T>(std::move(fields)) : std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace Messages
