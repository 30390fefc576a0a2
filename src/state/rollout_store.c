#include "state/rollout_store.h"

#include <stdlib.h>
#include <string.h>

/* Longest order: one year.  Sums with Unix times stay far from overflow. */
#define DURATION_MAX_MS (366ULL * 24 * 3600 * 1000)

bool
br_rollout_is_running (uint32_t phase)
{
  return phase < BR_ROLLOUT_COMPLETED;
}

/* Returns a deep copy, made by packing and unpacking. */
static br_rollout_t *
rollout_copy (const br_rollout_t *rollout)
{
  size_t len = br__state__rollout__get_packed_size (rollout);
  uint8_t *packed = br_alloc (len + 1);
  br_rollout_t *copy;

  br__state__rollout__pack (rollout, packed);
  copy = br__state__rollout__unpack (NULL, len, packed);
  free (packed);
  return copy;
}

static size_t
store_position (const br_rollout_store_t *store, br_str_t service)
{
  size_t i = 0;

  while (
      i < store->list.len
      && !br_str_equal (br_str_from (store->list.items[i]->service), service))
    i++;
  return i;
}

const br_rollout_t *
br_rollout_store_find (const br_rollout_store_t *store, br_str_t service)
{
  size_t at = store_position (store, service);

  return at < store->list.len ? store->list.items[at] : NULL;
}

static void
rollout_disallow (br_rollout_t *rollout, uint64_t version)
{
  size_t kept = 0;

  for (size_t i = 0; i < rollout->n_allowed; i++)
    if (rollout->allowed[i] != version)
      rollout->allowed[kept++] = rollout->allowed[i];
  rollout->n_allowed = kept;
}

static void
rollout_allow (br_rollout_t *rollout, uint64_t version)
{
  rollout_disallow (rollout, version);
  if (rollout->n_allowed >= BR_ROLLOUT_ALLOWED_MAX)
    {
      rollout->n_allowed = BR_ROLLOUT_ALLOWED_MAX - 1;
      memmove (rollout->allowed, rollout->allowed + 1,
               rollout->n_allowed * sizeof *rollout->allowed);
    }
  rollout->allowed = br_realloc (rollout->allowed,
                                 (rollout->n_allowed + 1) * sizeof (uint64_t));
  rollout->allowed[rollout->n_allowed++] = version;
}

static bool
start_is_valid (const Br__State__RolloutStart *start)
{
  return start->service[0] != '\0' && start->target[0] != '\0'
         && strlen (start->service) <= BR_NAME_MAX
         && strlen (start->target) <= BR_NAME_MAX && start->duration_ms > 0
         && start->duration_ms <= DURATION_MAX_MS
         && start->start_ms < (uint64_t)INT64_MAX / 2;
}

bool
br_rollout_store_start (br_rollout_store_t *store,
                        const Br__State__RolloutStart *start)
{
  size_t at = store_position (store, br_str_from (start->service));
  br_rollout_t *former = at < store->list.len ? store->list.items[at] : NULL;
  br_rollout_t order = BR__STATE__ROLLOUT__INIT;
  br_rollout_t *copy;

  if (!start_is_valid (start)
      || (former == NULL && store->list.len >= BR_ROLLOUTS_MAX)
      || (former != NULL
          && (br_rollout_is_running (former->phase)
              || strcmp (former->target, start->target) == 0)))
    return false;
  order.service = start->service;
  order.number = store->made + 1;
  order.target = start->target;
  order.target_version = start->target_version;
  order.start_ms = start->start_ms;
  order.duration_ms = start->duration_ms;
  order.step = 1;
  if (former != NULL)
    {
      order.step = former->step + 1;
      order.n_allowed = former->n_allowed;
      order.allowed = former->allowed;
    }
  copy = rollout_copy (&order);
  if (copy == NULL)
    return false;
  if (former == NULL)
    br_rollouts_push (&store->list, copy);
  else
    {
      br__state__rollout__free_unpacked (former, NULL);
      store->list.items[at] = copy;
    }
  store->made++;
  store->changes++;
  return true;
}

/* Returns the service's newest order if it has NUMBER, or NULL. */
static br_rollout_t *
store_order (const br_rollout_store_t *store,
             const char *service,
             uint64_t number)
{
  size_t at = store_position (store, br_str_from (service));

  return at < store->list.len && store->list.items[at]->number == number
             ? store->list.items[at]
             : NULL;
}

static void
rollout_set_why (br_rollout_t *rollout, const char *why)
{
  if (rollout->why != protobuf_c_empty_string)
    free (rollout->why);
  rollout->why
      = br_str_dup (br_str_make (why, strnlen (why, BR_ROLLOUT_WHY_MAX)));
}

bool
br_rollout_store_step (br_rollout_store_t *store,
                       const Br__State__RolloutStep *step)
{
  br_rollout_t *rollout = store_order (store, step->service, step->number);

  if (rollout == NULL || rollout->step != step->from_step
      || step->phase < BR_ROLLOUT_HOLD || step->phase > BR_ROLLOUT_ROLLED_BACK)
    return false;
  if (!br_rollout_is_running (rollout->phase)
      && (step->phase != rollout->phase || step->n_allow == 0))
    return false;
  rollout->step++;
  for (size_t i = 0; i < step->n_allow; i++)
    if (step->allow[i] != rollout->target_version)
      rollout_allow (rollout, step->allow[i]);
  if (br_rollout_is_running (rollout->phase))
    rollout_set_why (rollout, step->why);
  rollout->phase = step->phase;
  if (step->phase == BR_ROLLOUT_COMPLETED)
    rollout_allow (rollout, rollout->target_version);
  /* A service is never left without an allowed version. */
  else if (step->phase == BR_ROLLOUT_ROLLED_BACK && rollout->n_allowed > 1)
    rollout_disallow (rollout, rollout->target_version);
  store->changes++;
  return true;
}

bool
br_rollout_store_totals (br_rollout_store_t *store,
                         const Br__State__RolloutTotals *totals)
{
  br_rollout_t *rollout = store_order (store, totals->service, totals->number);

  if (rollout == NULL || !br_rollout_is_running (rollout->phase))
    return false;
  rollout->sent = BR_MAX (rollout->sent, totals->sent);
  rollout->sent_new = BR_MAX (rollout->sent_new, totals->sent_new);
  return true;
}

bool
br_rollout_store_add (br_rollout_store_t *store, const br_rollout_t *rollout)
{
  br_rollout_t *copy;

  if (rollout->service[0] == '\0' || rollout->target[0] == '\0'
      || rollout->phase > BR_ROLLOUT_ROLLED_BACK || rollout->number == 0
      || rollout->duration_ms > DURATION_MAX_MS
      || rollout->start_ms >= (uint64_t)INT64_MAX / 2
      || rollout->n_allowed > BR_ROLLOUT_ALLOWED_MAX
      || store->list.len >= BR_ROLLOUTS_MAX
      || br_rollout_store_find (store, br_str_from (rollout->service)) != NULL)
    return false;
  copy = rollout_copy (rollout);
  if (copy == NULL)
    return false;
  br_rollouts_push (&store->list, copy);
  return true;
}

void
br_rollout_store_release (br_rollout_store_t *store)
{
  for (size_t i = 0; i < store->list.len; i++)
    br__state__rollout__free_unpacked (store->list.items[i], NULL);
  br_rollouts_free (&store->list);
}
