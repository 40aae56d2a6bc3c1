#include "mulberryhoist/table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

// g++ 12 warns about the library's bounded copy of file names when it inlines
// it; the copy is terminated by the library.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wstringop-truncation"
#endif
#define CSV_IO_NO_THREAD
#include <libfccp/csv.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mulberryhoist {
namespace {

constexpr std::size_t ColumnCount = 10;
constexpr std::uint32_t MaxClass = 7;
constexpr std::uint32_t MaxShare = 1000;
constexpr std::uint32_t MaxWeight = 1000;
constexpr std::uint32_t MaxSlots = 1024;
constexpr std::uint32_t MaxConnections = 1000000;
constexpr std::string_view ClosedShare = "closed";
constexpr std::string_view EpochMark = "epoch";
constexpr std::string_view EndMark = "end";

enum Column : std::size_t {
  ServiceColumn,
  AddressColumn,
  ClassColumn,
  ShareColumn,
  UpstreamColumn,
  EndpointColumn,
  ZoneColumn,
  WeightColumn,
  SlotsColumn,
  ConnectionsColumn,
};

constexpr std::array<std::string_view, ColumnCount> ColumnNames = {
    "service",  "address", "class",  "share", "upstream",
    "endpoint", "zone",    "weight", "slots", "connections"};

/// The text cells of one line, in the order of `ColumnNames`.
struct CellLine {
  std::size_t Number = 0;
  std::array<std::string, ColumnCount> Cells;
};

/// A row whose cells passed the checks that need no other row.
struct CheckedRow {
  std::size_t Line = 0;
  Service OfService;
  Upstream OfUpstream;
  std::uint32_t Weight = 0;
};

/// Makes a cell safe to print in an error: bounded and printable.
std::string printable(std::string_view Text) {
  constexpr std::size_t MaxShown = 80;
  std::string Shown(Text.substr(0, MaxShown));
  for (char &Letter : Shown) {
    if (Letter < ' ' || Letter > '~') {
      Letter = '?';
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

tl::unexpected<Error> cellError(const CellLine &Line, Column Which,
                                std::string_view Problem) {
  return cellError(Line.Number, ColumnNames[Which], Line.Cells[Which], Problem);
}

/// Appends one line; the marks may be written without their empty cells.
void appendPadded(std::string &Out, std::string_view Line) {
  const bool CarriageReturn = !Line.empty() && Line.back() == '\r';
  if (CarriageReturn) {
    Line.remove_suffix(1);
  }
  Out += Line;
  if (Line.starts_with("epoch,") || Line.starts_with("end,")) {
    const auto Commas =
        static_cast<std::size_t>(std::count(Line.begin(), Line.end(), ','));
    if (Commas == 1) {
      Out.append(ColumnCount - 1 - Commas, ',');
    }
  }
  Out += '\n';
}

using CsvReader = io::CSVReader<ColumnCount, io::trim_chars<' ', '\t'>,
                                io::double_quote_escape<',', '"'>>;

Result<std::vector<CellLine>> readLines(CsvReader &Reader) {
  Reader.read_header(io::ignore_no_column, "service", "address", "class",
                     "share", "upstream", "endpoint", "zone", "weight", "slots",
                     "connections");
  std::vector<CellLine> Lines;
  CellLine Line;
  auto &Cells = Line.Cells;
  while (Reader.read_row(Cells[0], Cells[1], Cells[2], Cells[3], Cells[4],
                         Cells[5], Cells[6], Cells[7], Cells[8], Cells[9])) {
    Line.Number = Reader.get_file_line();
    Lines.push_back(Line);
  }
  return Lines;
}

/// Splits CSV text with a header into lines of cells.
Result<std::vector<CellLine>> readCells(std::string_view Csv) {
  // The reader treats lines as C strings and, without a final newline, looks at
  // one byte behind the text.
  if (const auto Nul = Csv.find('\0'); Nul != std::string_view::npos) {
    const auto Line = std::count(Csv.begin(), Csv.begin() + Nul, '\n') + 1;
    return makeError(
        ErrorKind::InvalidTable,
        fmt::format("line {}, byte {}: '\\0' is not text", Line, Nul + 1));
  }
  std::string Text;
  Text.reserve(Csv.size() + ColumnCount);
  while (!Csv.empty()) {
    const std::size_t Stop = std::min(Csv.find('\n'), Csv.size() - 1);
    appendPadded(Text, Csv.substr(0, Stop));
    Csv.remove_prefix(Stop + 1);
  }
  std::size_t Line = 1;
  try {
    CsvReader Reader("table", Text.data(), Text.data() + Text.size());
    return readLines(Reader);
  } catch (const io::error::extra_column_in_header &Problem) {
    return cellError(Line, Problem.column_name, Problem.column_name,
                     "is not a known column");
  } catch (const io::error::missing_column_in_header &Problem) {
    return cellError(Line, Problem.column_name, Problem.column_name,
                     "is missing from the header");
  } catch (const io::error::duplicated_column_in_header &Problem) {
    return cellError(Line, Problem.column_name, Problem.column_name,
                     "appears twice in the header");
  } catch (const io::error::too_few_columns &Problem) {
    Line = static_cast<std::size_t>(Problem.file_line);
  } catch (const io::error::too_many_columns &Problem) {
    Line = static_cast<std::size_t>(Problem.file_line);
  } catch (const io::error::escaped_string_not_closed &Problem) {
    Line = static_cast<std::size_t>(std::max(Problem.file_line, 1));
  } catch (const std::exception &Problem) {
    return makeError(ErrorKind::InvalidTable,
                     fmt::format("line 1: {}", printable(Problem.what())));
  }
  std::string_view Shown = Text;
  for (std::size_t Skipped = 1; Skipped < Line; ++Skipped) {
    Shown.remove_prefix(Shown.find('\n') + 1);
  }
  return cellError(
      Line, fmt::format("1 to {}", ColumnCount),
      Shown.substr(0, Shown.find('\n')),
      fmt::format("does not have {} well-formed cells", ColumnCount));
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

/// Reads the cells of one row; the first problem stays in `Problem`.
class CellChecker {
public:
  explicit CellChecker(const CellLine &Line) : Line(Line) {}

  const std::string &name(Column Which) {
    const std::string &Cell = this->Line.Cells[Which];
    if (!isName(Cell)) {
      this->fail(Which, "is not a name of 1 to 63 of a-z, 0-9 and -");
    }
    return Cell;
  }

  std::uint32_t number(Column Which, std::uint32_t Min, std::uint32_t Max) {
    const auto Value = readNumber(this->Line.Cells[Which]);
    if (!Value || *Value < Min || *Value > Max) {
      this->fail(Which, fmt::format("is not {} to {}", Min, Max));
      return Min;
    }
    return *Value;
  }

  Endpoint endpoint(Column Which) {
    const auto Value = parseEndpoint(this->Line.Cells[Which]);
    if (!Value || Value->Port == 0 || Value->Address == 0) {
      this->fail(Which, "is not IPv4:port");
      return {};
    }
    return *Value;
  }

  std::optional<Error> Problem;

private:
  void fail(Column Which, std::string_view Text) {
    if (!this->Problem) {
      this->Problem = cellError(this->Line, Which, Text).value();
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
  if (Row.OfService.Name == EpochMark || Row.OfService.Name == EndMark) {
    return cellError(Line, ServiceColumn, "is reserved");
  }
  if (Row.OfService.Closed && Row.Weight != 0) {
    return cellError(Line, WeightColumn, "must be 0 in a closed service");
  }
  return Row;
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

/// The canonical text of a row, so that equal rows have equal text.
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

/// Checks rows against each other.
class CrossChecker {
public:
  std::optional<Error> check(std::span<const CheckedRow> Rows) {
    for (const CheckedRow &Row : Rows) {
      if (auto Problem = this->checkService(Row)) {
        return Problem;
      }
      if (auto Problem = this->checkUpstream(Row)) {
        return Problem;
      }
      if (!this->Pairs.emplace(Row.OfService.Id, Row.OfUpstream.Id).second) {
        return fail(Row, UpstreamColumn, Row.OfUpstream.Name,
                    "is a duplicate row of the service");
      }
      this->Total[Row.OfService.Id] += Row.Weight;
    }
    return this->checkWeights(Rows);
  }

private:
  static Error fail(const CheckedRow &Row, Column Which, std::string_view Value,
                    std::string_view Text) {
    return cellError(Row.Line, ColumnNames[Which], Value, Text).value();
  }

  std::optional<Error> checkService(const CheckedRow &Row) {
    const Service &New = Row.OfService;
    const Service &Old = *this->Services.emplace(New.Id, &New).first->second;
    if (Old.Name != New.Name) {
      return fail(Row, ServiceColumn, New.Name,
                  "has the identifier of service " + Old.Name);
    }
    if (Old.Address != New.Address) {
      return fail(Row, AddressColumn, formatEndpoint(New.Address),
                  "differs from another row of the service");
    }
    if (Old.Class != New.Class) {
      return fail(Row, ClassColumn, std::to_string(New.Class),
                  "differs from another row of the service");
    }
    if (Old.Share != New.Share || Old.Closed != New.Closed) {
      return fail(Row, ShareColumn,
                  New.Closed ? ClosedShare : std::to_string(New.Share),
                  "differs from another row of the service");
    }
    const auto &Owner = this->Addresses.emplace(New.Address, &New);
    if (Owner.first->second->Id != New.Id) {
      return fail(Row, AddressColumn, formatEndpoint(New.Address),
                  "belongs to service " + Owner.first->second->Name);
    }
    return std::nullopt;
  }

  std::optional<Error> checkUpstream(const CheckedRow &Row) {
    const Upstream &New = Row.OfUpstream;
    const Upstream &Old = *this->Upstreams.emplace(New.Id, &New).first->second;
    constexpr std::string_view Differs =
        "differs from another row of the upstream";
    if (Old.Name != New.Name) {
      return fail(Row, UpstreamColumn, New.Name,
                  "has the identifier of upstream " + Old.Name);
    }
    if (Old.Agent != New.Agent) {
      return fail(Row, EndpointColumn, formatEndpoint(New.Agent), Differs);
    }
    if (Old.AvailabilityZone != New.AvailabilityZone) {
      return fail(Row, ZoneColumn, New.AvailabilityZone, Differs);
    }
    if (Old.Slots != New.Slots) {
      return fail(Row, SlotsColumn, std::to_string(New.Slots), Differs);
    }
    if (Old.Connections != New.Connections) {
      return fail(Row, ConnectionsColumn, std::to_string(New.Connections),
                  Differs);
    }
    const auto &Owner = this->Agents.emplace(New.Agent, &New);
    if (Owner.first->second->Id != New.Id) {
      return fail(Row, EndpointColumn, formatEndpoint(New.Agent),
                  "belongs to upstream " + Owner.first->second->Name);
    }
    return std::nullopt;
  }

  std::optional<Error> checkWeights(std::span<const CheckedRow> Rows) const {
    for (const CheckedRow &Row : Rows) {
      if (!Row.OfService.Closed && this->Total.at(Row.OfService.Id) == 0) {
        return fail(Row, WeightColumn, "0",
                    "in every row needs share 'closed' (service " +
                        Row.OfService.Name + ")");
      }
    }
    return std::nullopt;
  }

  std::map<ServiceId, const Service *> Services;
  std::map<Endpoint, const Service *> Addresses;
  std::map<UpstreamId, const Upstream *> Upstreams;
  std::map<Endpoint, const Upstream *> Agents;
  std::set<std::pair<ServiceId, UpstreamId>> Pairs;
  std::map<ServiceId, std::uint64_t> Total;
};

/// Takes the epoch row off the front and the end row off the back.
Result<std::uint32_t> takeMarks(std::span<const CellLine> &Lines) {
  const auto HasOnlyTwoCells = [](const CellLine &Line) {
    return std::all_of(Line.Cells.begin() + ClassColumn, Line.Cells.end(),
                       [](const std::string &Cell) { return Cell.empty(); });
  };
  if (Lines.empty() || Lines.back().Cells[ServiceColumn] != EndMark ||
      !HasOnlyTwoCells(Lines.back())) {
    return makeError(
        ErrorKind::IncompleteTable,
        fmt::format("line {}, column service: '{}' is not the row end,ROWS",
                    Lines.empty() ? 1 : Lines.back().Number,
                    Lines.empty() ? std::string()
                                  : printable(Lines.back().Cells[0])));
  }
  const CellLine &End = Lines.back();
  Lines = Lines.first(Lines.size() - 1);
  std::uint32_t Epoch = 0;
  if (!Lines.empty() && Lines.front().Cells[ServiceColumn] == EpochMark) {
    const auto Value = readNumber(Lines.front().Cells[AddressColumn]);
    if (!Value || !HasOnlyTwoCells(Lines.front())) {
      return cellError(Lines.front(), AddressColumn,
                       "is not the number of an epoch row");
    }
    Epoch = *Value;
    Lines = Lines.subspan(1);
  }
  if (readNumber(End.Cells[AddressColumn]) != Lines.size()) {
    return makeError(
        ErrorKind::IncompleteTable,
        fmt::format("line {}, column address: '{}' is not the number of "
                    "service rows, {}",
                    End.Number, printable(End.Cells[AddressColumn]),
                    Lines.size()));
  }
  if (Lines.empty()) {
    return cellError(End, AddressColumn, "rows: a table needs a service");
  }
  return Epoch;
}

/// Splits the canonical text of a row, which has no quotes.
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

/// Checks rows that another process sent. They are not read as CSV, whose
/// reader needs a buffer of 48 MB.
Result<std::vector<CheckedRow>> checkRowTexts(std::span<const RowText> Rows) {
  std::vector<CheckedRow> Checked;
  Checked.reserve(Rows.size());
  for (const RowText &Row : Rows) {
    const auto Line = splitRow(Row, Checked.size() + 1);
    if (!Line) {
      return tl::unexpected<Error>(Line.error());
    }
    auto Each = checkRow(*Line);
    if (!Each) {
      return tl::unexpected<Error>(std::move(Each.error()));
    }
    if (formatRow(*Each) != Row) {
      return makeError(ErrorKind::InvalidTable,
                       fmt::format("row '{}': '{}' does not belong to this key",
                                   printable(Row.Key), printable(Row.Value)));
    }
    Checked.push_back(std::move(*Each));
  }
  return Checked;
}

} // namespace

Result<PublishedTable> parsePublishedTable(std::string_view Csv) {
  if (Csv.size() > MaxTableBytes) {
    return makeError(
        ErrorKind::InvalidTable,
        fmt::format("{} bytes is more than {}", Csv.size(), MaxTableBytes));
  }
  if (!Csv.ends_with('\n')) {
    return makeError(ErrorKind::IncompleteTable,
                     fmt::format("line {}: the last line has no newline",
                                 std::count(Csv.begin(), Csv.end(), '\n') + 1));
  }
  const auto Lines = readCells(Csv);
  if (!Lines) {
    return tl::unexpected<Error>(Lines.error());
  }
  std::span<const CellLine> Data(*Lines);
  const auto Epoch = takeMarks(Data);
  if (!Epoch) {
    return tl::unexpected<Error>(Epoch.error());
  }
  const auto Checked = checkRows(Data);
  if (!Checked) {
    return tl::unexpected<Error>(Checked.error());
  }
  if (auto Problem = CrossChecker().check(*Checked)) {
    return tl::unexpected<Error>(std::move(*Problem));
  }
  PublishedTable Published;
  Published.Epoch = *Epoch;
  Published.Rows.reserve(Checked->size());
  for (const CheckedRow &Row : *Checked) {
    Published.Rows.push_back(formatRow(Row));
  }
  std::sort(Published.Rows.begin(), Published.Rows.end());
  return Published;
}

std::uint64_t digestRows(DocumentVersion Version,
                         std::span<const RowText> Rows) {
  XXH3_state_t State;
  XXH3_64bits_reset(&State);
  const auto AddNumber = [&State](std::uint64_t Value) {
    XXH3_64bits_update(&State, &Value, sizeof(Value));
  };
  AddNumber(Version.Epoch);
  AddNumber(Version.Revision);
  for (const RowText &Row : Rows) {
    AddNumber(Row.Key.size());
    XXH3_64bits_update(&State, Row.Key.data(), Row.Key.size());
    AddNumber(Row.Value.size());
    XXH3_64bits_update(&State, Row.Value.data(), Row.Value.size());
  }
  return XXH3_64bits_digest(&State);
}

/// The lookups of a table.
struct Table::Index {
  std::unordered_map<Endpoint, std::size_t> ServiceByAddress;
  std::unordered_map<ServiceId, std::size_t> ServiceById;
  std::unordered_map<UpstreamId, Upstream> UpstreamById;
  std::unordered_map<Endpoint, UpstreamId> UpstreamByAgent;
  std::unordered_map<ServiceId, std::vector<Assignment>> ByService;
  std::unordered_map<UpstreamId, std::vector<Assignment>> ByUpstream;
  std::unordered_map<Endpoint, std::vector<UpstreamId>> LocateGroups;

  /// Fills `LocateGroups` from the rows of every service that has or had an
  /// address.
  void addLocateGroups(std::span<const CheckedRow> Live,
                       std::span<const CheckedRow> Removed) {
    std::map<ServiceId, std::set<UpstreamId>> Members;
    std::map<Endpoint, std::set<ServiceId>> Holders;
    for (const auto &Rows : {Live, Removed}) {
      for (const CheckedRow &Row : Rows) {
        Members[Row.OfService.Id].insert(Row.OfUpstream.Id);
        Holders[Row.OfService.Address].insert(Row.OfService.Id);
      }
    }
    for (const auto &[Address, Ids] : Holders) {
      std::set<UpstreamId> Group;
      for (const ServiceId Id : Ids) {
        Group.insert(Members[Id].begin(), Members[Id].end());
      }
      this->LocateGroups[Address].assign(Group.begin(), Group.end());
    }
  }
};

Result<Table> Table::create(TableVersion Version, std::span<const RowText> Rows,
                            std::span<const RowText> Removed) {
  std::vector<RowText> Sorted(Rows.begin(), Rows.end());
  std::sort(Sorted.begin(), Sorted.end());
  const auto Live = checkRowTexts(Sorted);
  if (!Live) {
    return tl::unexpected<Error>(Live.error());
  }
  const auto Gone = checkRowTexts(Removed);
  if (!Gone) {
    return tl::unexpected<Error>(Gone.error());
  }
  if (Live->empty()) {
    return makeError(ErrorKind::InvalidTable, "a table needs a service");
  }
  if (auto Problem = CrossChecker().check(*Live)) {
    return tl::unexpected<Error>(std::move(*Problem));
  }
  Table Made;
  Made.Version = Version;
  Made.Digest = digestRows(Version, Sorted);
  const auto Lookup = std::make_shared<Index>();
  for (const CheckedRow &Row : *Live) {
    const Service &S = Row.OfService;
    const Upstream &U = Row.OfUpstream;
    if (Lookup->ServiceById.emplace(S.Id, Made.Services.size()).second) {
      Lookup->ServiceByAddress.emplace(S.Address, Made.Services.size());
      Made.Services.push_back(S);
    }
    if (Lookup->UpstreamById.emplace(U.Id, U).second) {
      Lookup->UpstreamByAgent.emplace(U.Agent, U.Id);
      Made.Upstreams.push_back(U);
    }
    Lookup->ByService[S.Id].push_back({S.Id, U.Id, Row.Weight});
    Lookup->ByUpstream[U.Id].push_back({S.Id, U.Id, Row.Weight});
  }
  for (const CheckedRow &Row : *Gone) {
    // A live upstream takes precedence over a removed one with its name or
    // endpoint.
    Lookup->UpstreamById.emplace(Row.OfUpstream.Id, Row.OfUpstream);
    Lookup->UpstreamByAgent.emplace(Row.OfUpstream.Agent, Row.OfUpstream.Id);
  }
  for (auto &[Id, List] : Lookup->ByService) {
    std::sort(List.begin(), List.end(), [](const auto &A, const auto &B) {
      return A.Upstream < B.Upstream;
    });
  }
  for (auto &[Id, List] : Lookup->ByUpstream) {
    std::sort(List.begin(), List.end(), [](const auto &A, const auto &B) {
      return A.Service < B.Service;
    });
  }
  Lookup->addLocateGroups(*Live, *Gone);
  Made.Lookup = Lookup;
  return Made;
}

Result<Table> Table::fromCsv(std::string_view Csv, std::uint64_t Revision) {
  const auto Published = parsePublishedTable(Csv);
  if (!Published) {
    return tl::unexpected<Error>(Published.error());
  }
  return Table::create({Published->Epoch, Revision}, Published->Rows);
}

const Service *Table::findService(Endpoint Address) const {
  const auto Found = this->Lookup->ServiceByAddress.find(Address);
  return Found == this->Lookup->ServiceByAddress.end()
             ? nullptr
             : &this->Services[Found->second];
}

const Service *Table::findService(ServiceId Id) const {
  const auto Found = this->Lookup->ServiceById.find(Id);
  return Found == this->Lookup->ServiceById.end()
             ? nullptr
             : &this->Services[Found->second];
}

const Upstream *Table::findUpstream(UpstreamId Id) const {
  const auto Found = this->Lookup->UpstreamById.find(Id);
  return Found == this->Lookup->UpstreamById.end() ? nullptr : &Found->second;
}

const Upstream *Table::findUpstream(Endpoint Agent) const {
  const auto Found = this->Lookup->UpstreamByAgent.find(Agent);
  return Found == this->Lookup->UpstreamByAgent.end()
             ? nullptr
             : this->findUpstream(Found->second);
}

std::span<const Assignment> Table::assignments(ServiceId Id) const {
  const auto Found = this->Lookup->ByService.find(Id);
  return Found == this->Lookup->ByService.end()
             ? std::span<const Assignment>()
             : std::span<const Assignment>(Found->second);
}

std::span<const Assignment> Table::assignments(UpstreamId Id) const {
  const auto Found = this->Lookup->ByUpstream.find(Id);
  return Found == this->Lookup->ByUpstream.end()
             ? std::span<const Assignment>()
             : std::span<const Assignment>(Found->second);
}

std::span<const UpstreamId> Table::locateGroup(Endpoint Address) const {
  const auto Found = this->Lookup->LocateGroups.find(Address);
  return Found == this->Lookup->LocateGroups.end()
             ? std::span<const UpstreamId>()
             : std::span<const UpstreamId>(Found->second);
}

} // namespace mulberryhoist
