#include "site/helper.h"

br_helper_t *
br_helpers_add (br_helpers_t *helpers, const br_name_t *vm)
{
  br_helper_t helper = { .vm = *vm };

  return br_helpers_push (helpers, helper);
}

void
br_helpers_remove (br_helpers_t *helpers, const br_name_t *vm)
{
  for (size_t i = helpers->len; i-- > 0;)
    if (br_name_equal (&helpers->items[i].vm, vm))
      {
        br_names_free (&helpers->items[i].lost);
        helpers->items[i] = helpers->items[--helpers->len];
      }
}

void
br_helpers_release (br_helpers_t *helpers)
{
  for (size_t i = 0; i < helpers->len; i++)
    br_names_free (&helpers->items[i].lost);
  br_helpers_free (helpers);
}

static bool
helper_reaches (const br_helper_t *helper, const br_name_t *service)
{
  for (size_t i = 0; i < helper->lost.len; i++)
    if (br_name_equal (&helper->lost.items[i], service))
      return false;
  return true;
}

const br_name_t *
br_helpers_choose (const br_helpers_t *helpers,
                   const br_name_t *service,
                   const br_name_t *tried,
                   br_random_t *random)
{
  const br_name_t *chosen = NULL;
  const br_name_t *last = NULL;
  uint64_t n = 0;

  for (size_t i = 0; i < helpers->len; i++)
    {
      const br_helper_t *helper = &helpers->items[i];

      if (!helper_reaches (helper, service))
        continue;
      if (br_name_equal (&helper->vm, tried))
        last = &helper->vm;
      else if (br_random_below (random, ++n) == 0)
        chosen = &helper->vm;
    }
  return chosen != NULL ? chosen : last;
}
