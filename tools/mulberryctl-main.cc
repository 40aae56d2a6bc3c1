#include <iostream>
#include <span>

#include "mulberryhoist/ctl.h"

int main(int ArgumentCount, char **Arguments) {
  const std::span<const char *const> Words(
      Arguments, static_cast<std::size_t>(ArgumentCount));
  return static_cast<int>(mulberryhoist::runCtl(Words, std::cout, std::cerr));
}
