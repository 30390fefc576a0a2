#include "rollout/replacement.h"

#include <string.h>

void
br_replacement_note (br_replacement_t *replacement, size_t allowed, br_ms_t now)
{
  br_ms_t second = now / 1000;
  size_t *most;

  if (second - replacement->second >= BR_REPLACEMENT_SPAN_S)
    memset (replacement->most, 0, sizeof replacement->most);
  else
    for (br_ms_t i = replacement->second + 1; i <= second; i++)
      replacement->most[i % BR_REPLACEMENT_SPAN_S] = 0;
  replacement->second = second;
  most = &replacement->most[second % BR_REPLACEMENT_SPAN_S];
  *most = BR_MAX (*most, allowed);
}

void
br_replacement_begin (br_replacement_t *replacement,
                      size_t allowed,
                      size_t leaving,
                      br_ms_t now)
{
  br_replacement_note (replacement, allowed + leaving, now);
}

bool
br_replacement_admits (const br_replacement_t *replacement,
                       size_t allowed,
                       size_t undeclared)
{
  size_t most = 0;

  for (size_t i = 0; i < BR_REPLACEMENT_SPAN_S; i++)
    most = BR_MAX (most, replacement->most[i]);
  return undeclared > 0 && allowed + undeclared <= most;
}
