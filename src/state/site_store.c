#include "state/site_store.h"

#include <stdlib.h>
#include <string.h>

bool
br_site_store_change (br_site_store_t *store,
                      const Br__State__SiteChange *change)
{
  if (change->version <= store->version)
    return false;
  store->version = change->version;
  br_buf_clear (&store->text);
  br_buf_append (&store->text, br_str_make ((const char *)change->text.data,
                                            change->text.len));
  return true;
}

/* Returns a deep copy, made by packing and unpacking. */
static br_usage_decision_t *
decision_copy (const br_usage_decision_t *decision)
{
  size_t len = br__state__usage_decision__get_packed_size (decision);
  uint8_t *packed = br_alloc (len + 1);
  br_usage_decision_t *copy;

  br__state__usage_decision__pack (decision, packed);
  copy = br__state__usage_decision__unpack (NULL, len, packed);
  free (packed);
  return copy;
}

const br_usage_decision_t *
br_site_store_decide (br_site_store_t *store,
                      const br_usage_decision_t *decision)
{
  const br_usage_decision_t *earlier
      = br_site_store_usage (store, decision->window);
  br_usage_decision_t *copy;

  if (earlier != NULL)
    return earlier;
  copy = decision_copy (decision);
  if (copy == NULL)
    return NULL;
  if (store->usage.len == BR_SITE_WINDOWS_MAX)
    {
      br__state__usage_decision__free_unpacked (store->usage.items[0], NULL);
      store->usage.len--;
      memmove (store->usage.items, store->usage.items + 1,
               store->usage.len * sizeof store->usage.items[0]);
    }
  return *br_usage_decisions_push (&store->usage, copy);
}

const br_usage_decision_t *
br_site_store_usage (const br_site_store_t *store, uint64_t window)
{
  for (size_t i = 0; i < store->usage.len; i++)
    if (store->usage.items[i]->window == window)
      return store->usage.items[i];
  return NULL;
}

const br_site_ban_t *
br_site_store_find_ban (const br_site_store_t *store, uint64_t content)
{
  for (size_t i = 0; i < store->bans.len; i++)
    if (store->bans.items[i].content == content)
      return &store->bans.items[i];
  return NULL;
}

static void
site_store_remove_ban (br_site_store_t *store, size_t index)
{
  br_site_bans_t *bans = &store->bans;

  memmove (bans->items + index, bans->items + index + 1,
           (--bans->len - index) * sizeof *bans->items);
}

void
br_site_store_ban (br_site_store_t *store, const br_site_ban_t *ban)
{
  br_site_ban_t added = BR__STATE__BAN__INIT;

  added.content = ban->content;
  added.trials = ban->trials;
  added.ticket = ban->ticket;
  added.granted_ms = ban->granted_ms;
  store->bans_made++;
  for (size_t i = 0; i < store->bans.len; i++)
    if (store->bans.items[i].content == ban->content)
      {
        if (ban->trials == 0)
          added = store->bans.items[i];
        site_store_remove_ban (store, i);
        break;
      }
  if (ban->until_ms == 0)
    return;
  added.until_ms = ban->until_ms;
  if (store->bans.len == BR_SITE_BANS_MAX)
    site_store_remove_ban (store, 0);
  br_site_bans_push (&store->bans, added);
}

bool
br_site_store_grant_trial (br_site_store_t *store,
                           const Br__State__Trial *trial)
{
  const br_site_ban_t *found = br_site_store_find_ban (store, trial->content);
  br_site_ban_t ban = BR__STATE__BAN__INIT;

  if (found == NULL || trial->number != found->trials + 1)
    return false;
  ban.content = trial->content;
  ban.until_ms = trial->until_ms;
  ban.trials = trial->number;
  ban.ticket = trial->ticket;
  ban.granted_ms = trial->granted_ms;
  br_site_store_ban (store, &ban);
  return true;
}

static br_site_streams_t *
streams_copy (const br_site_streams_t *streams)
{
  size_t len = br__state__streams__get_packed_size (streams);
  uint8_t *packed = br_alloc (len + 1);
  br_site_streams_t *copy;

  br__state__streams__pack (streams, packed);
  copy = br__state__streams__unpack (NULL, len, packed);
  free (packed);
  return copy;
}

/* Removes the batches that are too old beside one of AT_MS, and makes room for
 * one. */
static void
site_store_trim_streams (br_site_store_t *store, uint64_t at_ms)
{
  br_site_stream_batches_t *batches = &store->streams;
  size_t n = 0;

  while (n < batches->len
         && (batches->items[n]->at_ms + BR_SITE_STREAMS_LIFE_MS < at_ms
             || batches->len - n >= BR_SITE_STREAMS_MAX))
    br__state__streams__free_unpacked (batches->items[n++], NULL);
  batches->len -= n;
  if (n > 0 && batches->len > 0)
    memmove (batches->items, batches->items + n,
             batches->len * sizeof batches->items[0]);
}

bool
br_site_store_streams (br_site_store_t *store, const br_site_streams_t *streams)
{
  br_site_streams_t *copy;

  if (streams->n_streams != streams->n_versions)
    return false;
  copy = streams_copy (streams);
  if (copy == NULL)
    return false;
  site_store_trim_streams (store, streams->at_ms);
  br_site_stream_batches_push (&store->streams, copy);
  store->streams_made++;
  return true;
}

void
br_site_store_release (br_site_store_t *store)
{
  br_site_bans_free (&store->bans);
  for (size_t i = 0; i < store->streams.len; i++)
    br__state__streams__free_unpacked (store->streams.items[i], NULL);
  br_site_stream_batches_free (&store->streams);
  for (size_t i = 0; i < store->usage.len; i++)
    br__state__usage_decision__free_unpacked (store->usage.items[i], NULL);
  br_usage_decisions_free (&store->usage);
  br_buf_free (&store->text);
}
