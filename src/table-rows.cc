#include "table-rows.h"

#include <charconv>
#include <fmt/format.h>

namespace mulberryhoist::detail {
namespace {

constexpr std::uint32_t MaxClass = 7;
constexpr std::uint32_t MaxShare = 1000;
constexpr std::uint32_t MaxWeight = 1000;
constexpr std::uint32_t MaxSlots = 1024;
constexpr std::uint32_t MaxConnections = 1000000;

/// Parses the cells of one row; `Problem` holds the first error.
class CellChecker {
public:
  explicit CellChecker(const CellLine &Line) : Line(Line) {}

  const std::string &name(Column Index) {
    const std::string &Cell = this->Line.Cells[Index];
    if (!isName(Cell)) {
      this->fail(Index, "is not a name of 1 to 63 of a-z, 0-9 and -");
    }
    return Cell;
  }

  std::uint32_t number(Column Index, std::uint32_t Min, std::uint32_t Max) {
    const auto Value = readNumber(this->Line.Cells[Index]);
    if (!Value || *Value < Min || *Value > Max) {
      this->fail(Index, fmt::format("is not {} to {}", Min, Max));
      return Min;
    }
    return *Value;
  }

  Endpoint endpoint(Column Index) {
    const auto Value = parseEndpoint(this->Line.Cells[Index]);
    if (!Value || Value->Port == 0 || Value->Address == 0) {
      this->fail(Index, "is not IPv4:port");
      return {};
    }
    return *Value;
  }

  std::optional<Error> Problem;

private:
  void fail(Column Index, std::string_view Text) {
    if (!this->Problem) {
      this->Problem = cellError(this->Line, Index, Text).value();
    }
  }

  const CellLine &Line;
};

Result<CheckedRow> checkRow(const CellLine &Line) {
  CellChecker Checker(Line);
  CheckedRow Row;
  Row.Line = Line.Number;
  Row.OfService.Name = Checker.name(ServiceColumn);
  Row.OfService.Id = serviceId(Row.OfService.Name);
  Row.OfService.Address = Checker.endpoint(AddressColumn);
  Row.OfService.Class =
      static_cast<std::uint8_t>(Checker.number(ClassColumn, 0, MaxClass));
  Row.OfService.Closed = Line.Cells[ShareColumn] == ClosedShare;
  if (!Row.OfService.Closed) {
    Row.OfService.Share = Checker.number(ShareColumn, 1, MaxShare);
  }
  Row.OfUpstream.Name = Checker.name(UpstreamColumn);
  Row.OfUpstream.Id = upstreamId(Row.OfUpstream.Name);
  Row.OfUpstream.Agent = Checker.endpoint(EndpointColumn);
  Row.OfUpstream.AvailabilityZone = Checker.name(ZoneColumn);
  Row.Weight = Checker.number(WeightColumn, 0, MaxWeight);
  Row.OfUpstream.Slots = Checker.number(SlotsColumn, 1, MaxSlots);
  Row.OfUpstream.Connections =
      Checker.number(ConnectionsColumn, 1, MaxConnections);
  if (Checker.Problem) {
    return tl::unexpected<Error>(std::move(*Checker.Problem));
  }
  if (Row.OfService.Name == EpochRowName || Row.OfService.Name == EndRowName) {
    return cellError(Line, ServiceColumn, "is reserved");
  }
  if (Row.OfService.Closed && Row.Weight != 0) {
    return cellError(Line, WeightColumn, "must be 0 in a closed service");
  }
  return Row;
}

/// Splits the canonical text of a row, which contains no quotation marks.
Result<CellLine> splitRow(const RowText &Row, std::size_t Number) {
  CellLine Line;
  Line.Number = Number;
  std::string_view Rest = Row.Value;
  for (std::size_t I = 0; I < ColumnCount; ++I) {
    const std::size_t Comma = Rest.find(',');
    if ((Comma == std::string_view::npos) != (I + 1 == ColumnCount)) {
      return cellError(Number, fmt::format("1 to {}", ColumnCount), Row.Value,
                       fmt::format("does not have {} cells", ColumnCount));
    }
    Line.Cells[I] = Rest.substr(0, Comma);
    Rest.remove_prefix(std::min(Rest.size(), Line.Cells[I].size() + 1));
  }
  return Line;
}

} // namespace

std::string printable(std::string_view Text) {
  constexpr std::size_t MaxShownBytes = 80;
  std::string Shown(Text.substr(0, MaxShownBytes));
  for (char &Character : Shown) {
    if (Character < ' ' || Character > '~') {
      Character = '?';
    }
  }
  return Shown;
}

tl::unexpected<Error> cellError(std::size_t Line, std::string_view ColumnName,
                                std::string_view Value,
                                std::string_view Problem) {
  return makeError(ErrorKind::InvalidTable,
                   fmt::format("line {}, column {}: '{}' {}", Line,
                               printable(ColumnName), printable(Value),
                               Problem));
}

tl::unexpected<Error> cellError(const CellLine &Line, Column Index,
                                std::string_view Problem) {
  return cellError(Line.Number, ColumnNames[Index], Line.Cells[Index], Problem);
}

std::optional<std::uint32_t> readNumber(std::string_view Text) {
  std::uint32_t Value = 0;
  const char *Last = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data(), Last, Value);
  if (Code != std::errc() || Stop != Last || Text.empty()) {
    return std::nullopt;
  }
  return Value;
}

Result<std::vector<CheckedRow>> checkRows(std::span<const CellLine> Lines) {
  std::vector<CheckedRow> Rows;
  Rows.reserve(Lines.size());
  for (const CellLine &Line : Lines) {
    auto Row = checkRow(Line);
    if (!Row) {
      return tl::unexpected<Error>(std::move(Row.error()));
    }
    Rows.push_back(std::move(*Row));
  }
  return Rows;
}

RowText formatRow(const CheckedRow &Row) {
  const Service &S = Row.OfService;
  const Upstream &U = Row.OfUpstream;
  return {
      fmt::format("{}/{}", S.Name, U.Name),
      fmt::format("{},{},{},{},{},{},{},{},{},{}", S.Name,
                  formatEndpoint(S.Address), S.Class,
                  S.Closed ? std::string(ClosedShare) : std::to_string(S.Share),
                  U.Name, formatEndpoint(U.Agent), U.AvailabilityZone,
                  Row.Weight, U.Slots, U.Connections)};
}

Result<std::vector<CheckedRow>> checkRowTexts(std::span<const RowText> Rows) {
  std::vector<CheckedRow> Checked;
  Checked.reserve(Rows.size());
  for (const RowText &Row : Rows) {
    const auto Line = splitRow(Row, Checked.size() + 1);
    if (!Line) {
      return tl::unexpected<Error>(Line.error());
    }
    auto ParsedRow = checkRow(*Line);
    if (!ParsedRow) {
      return tl::unexpected<Error>(std::move(ParsedRow.error()));
    }
    if (formatRow(*ParsedRow) != Row) {
      return makeError(ErrorKind::InvalidTable,
                       fmt::format("row '{}': '{}' does not belong to this key",
                                   printable(Row.Key), printable(Row.Value)));
    }
    Checked.push_back(std::move(*ParsedRow));
  }
  return Checked;
}

} // namespace mulberryhoist::detail
