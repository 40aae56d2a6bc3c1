/// \file
/// The codec for messages of the document exchange.

#ifndef MULBERRYHOIST_EXCHANGE_H
#define MULBERRYHOIST_EXCHANGE_H

#include <cstddef>
#include <string>

#include "mulberryhoist/replication.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// The largest encoded message of the document exchange.
inline constexpr std::size_t MaxExchangeBytes = 2U << 20U;

/// Returns the document that a message is about.
DocumentKind documentOf(const ExchangeMessage &Message);

std::string encodeExchange(const ExchangeMessage &Message);

/// Decodes a message, or reports `MalformedMessage` or `OversizedMessage`.
Result<ExchangeMessage> decodeExchange(PacketBytes Bytes);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_EXCHANGE_H
