#include "move/target.h"

/* Returns whether the engine has memory for TOKENS, if its running requests
 * take as large a share of its memory as of its slots. */
static bool
choice_has_memory (const br_choice_t *choice,
                   const br_engine_limits_t *engine,
                   uint64_t tokens)
{
  int64_t slots = BR_MAX (engine->slots, 1);
  int64_t taken = BR_MIN ((int64_t)choice->load, slots);

  return engine->cache_tokens <= 0
         || (int64_t)tokens <= engine->cache_tokens * (slots - taken) / slots;
}

static bool
choice_has_room (const br_fleet_t *fleet,
                 const br_choice_t *choice,
                 const br_move_query_t *query,
                 br_ms_t now)
{
  return !choice->full && choice->upstream->copies < BR_MOVE_TARGET_MAX
         && !br_fleet_is_excluded (fleet, choice->upstream, now)
         && choice_has_memory (choice, &query->service->engine, query->tokens);
}

br_choice_t
br_move_target (const br_fleet_t *fleet,
                const br_move_query_t *query,
                br_ms_t now)
{
  /* The prompt comes with the copy, so the engine doesn't read it. */
  br_inbound_t inbound = { .id = query->inbound->id };
  br_choice_query_t choice_query = {
    .service = query->service,
    .inbound = &inbound,
    .failure_domain = query->failure_domain,
    .other_domain_ms = query->copy_ms,
    .version = query->version,
  };

  if (query->source != NULL)
    choice_query.tried[choice_query.n_tried++] = query->source;
  if (query->refused != NULL)
    choice_query.tried[choice_query.n_tried++] = query->refused;
  /* An engine without room is not chosen again; the next one is examined. */
  while (choice_query.n_tried < BR_CHOICE_TRIED_MAX)
    {
      br_choice_t choice = br_choice_make (fleet, &choice_query, now);

      if (choice.upstream == NULL
          || choice_has_room (fleet, &choice, query, now))
        return choice;
      choice_query.tried[choice_query.n_tried++] = choice.upstream;
    }
  return (br_choice_t){ 0 };
}
