#include "route/resend.h"

#include <assert.h>
#include <uthash.h>

typedef struct
{
  br_digest_t identity;
  br_digest_t body;
  uint64_t work;
  UT_hash_handle by_identity;
  UT_hash_handle by_work;
} entry_t;

struct br_resends
{
  entry_t *identities;
  entry_t *works;
};

br_resends_t *
br_resends_new (void)
{
  return br_alloc_zero (sizeof (br_resends_t));
}

static void
resends_remove (br_resends_t *resends, entry_t *entry)
{
  HASH_DELETE (by_identity, resends->identities, entry);
  HASH_DELETE (by_work, resends->works, entry);
  free (entry);
}

void
br_resends_free (br_resends_t *resends)
{
  entry_t *entry;
  entry_t *next;

  if (resends == NULL)
    return;
  HASH_ITER (by_work, resends->works, entry, next)
  resends_remove (resends, entry);
  free (resends);
}

static void
identity_add (br_buf_t *buf, br_str_t part)
{
  br_buf_printf (buf, "%zu:", part.len);
  br_buf_append (buf, part);
}

static br_digest_t
query_identity (const br_resend_query_t *query)
{
  br_buf_t buf = { 0 };
  br_digest_t digest;
  bool has_key = query->idempotency_key.len > 0;

  identity_add (&buf, query->workload);
  identity_add (&buf, query->service);
  identity_add (&buf, query->path);
  br_buf_append_char (&buf, has_key ? 'k' : 'b');
  identity_add (&buf, has_key ? query->idempotency_key : query->body);
  digest = br_digest_of (br_buf_str (&buf));
  br_buf_free (&buf);
  return digest;
}

static entry_t *
resends_entry (const br_resends_t *resends, const br_digest_t *identity)
{
  entry_t *entry;

  HASH_FIND (by_identity, resends->identities, identity, sizeof *identity,
             entry);
  return entry;
}

uint64_t
br_resends_find (const br_resends_t *resends,
                 const br_resend_query_t *query,
                 br_error_t *err)
{
  br_digest_t identity = query_identity (query);
  br_digest_t body = br_digest_of (query->body);
  entry_t *entry = resends_entry (resends, &identity);

  err->code = BR_ERROR_OK;
  if (entry == NULL)
    return 0;
  if (br_digest_equal (&entry->body, &body))
    return entry->work;
  br_error_set (err, BR_ERROR_CONFLICT, "find resend", "",
                "Idempotency-Key: is in use by a running request with another "
                "body");
  return 0;
}

void
br_resends_put (br_resends_t *resends,
                const br_resend_query_t *query,
                uint64_t work)
{
  entry_t *entry = br_alloc_zero (sizeof *entry);
  entry_t *known;

  assert (work != 0);
  entry->identity = query_identity (query);
  entry->body = br_digest_of (query->body);
  entry->work = work;
  known = resends_entry (resends, &entry->identity);
  if (known != NULL)
    resends_remove (resends, known);
  HASH_ADD (by_identity, resends->identities, identity, sizeof entry->identity,
            entry);
  HASH_ADD (by_work, resends->works, work, sizeof entry->work, entry);
}

void
br_resends_drop (br_resends_t *resends, uint64_t work)
{
  entry_t *entry;

  HASH_FIND (by_work, resends->works, &work, sizeof work, entry);
  if (entry != NULL)
    resends_remove (resends, entry);
}
