#include "organisation/digest_codec.h"

#include "organisation/digest.pb-c.h"

void
br_digest_pack (const br_admission_digest_t *digest, br_buf_t *out)
{
  Briarrack__Organisation__Digest message
      = BRIARRACK__ORGANISATION__DIGEST__INIT;
  size_t n = digest->demands.len;
  Briarrack__Organisation__Demand *demands
      = br_alloc_zero (BR_MAX (n, 1) * sizeof *demands);
  Briarrack__Organisation__Demand **list
      = br_alloc_zero (BR_MAX (n, 1) * sizeof *list);

  for (size_t i = 0; i < n; i++)
    {
      br_admission_demand_t *demand = &digest->demands.items[i];

      briarrack__organisation__demand__init (&demands[i]);
      demands[i].organisation = demand->organisation.data;
      demands[i].lacking_rate = demand->lacking_rate;
      demands[i].lacking_slots = demand->lacking_slots;
      demands[i].lent_rate = demand->lent_rate;
      demands[i].lent_slots = demand->lent_slots;
      list[i] = &demands[i];
    }
  message.incarnation = digest->incarnation;
  message.sent_ms = digest->sent_ms;
  message.echo_incarnation = digest->echo_incarnation;
  message.echo_sent_ms = digest->echo_sent_ms;
  message.n_demands = n;
  message.demands = list;
  br_buf_reserve (out,
                  briarrack__organisation__digest__get_packed_size (&message));
  out->len += briarrack__organisation__digest__pack (
      &message, (uint8_t *)out->data + out->len);
  out->data[out->len] = '\0';
  free (list);
  free (demands);
}

static bool
digest_read_demands (const Briarrack__Organisation__Digest *message,
                     br_admission_digest_t *digest)
{
  for (size_t i = 0; i < message->n_demands; i++)
    {
      const Briarrack__Organisation__Demand *from = message->demands[i];
      br_admission_demand_t demand = {
        .lacking_rate = from->lacking_rate,
        .lacking_slots = from->lacking_slots,
        .lent_rate = from->lent_rate,
        .lent_slots = from->lent_slots,
      };

      if (from->lacking_rate > BR_DIGEST_AMOUNT_MAX
          || from->lacking_slots > BR_DIGEST_AMOUNT_MAX
          || from->lent_rate > BR_DIGEST_AMOUNT_MAX
          || from->lent_slots > BR_DIGEST_AMOUNT_MAX
          || from->organisation[0] == '\0'
          || !br_name_set (&demand.organisation,
                           br_str_from (from->organisation)))
        return false;
      br_admission_demands_push (&digest->demands, demand);
    }
  return true;
}

bool
br_digest_unpack (br_str_t bytes,
                  const br_name_t *vm,
                  br_admission_digest_t *digest,
                  br_error_t *err)
{
  Briarrack__Organisation__Digest *message
      = briarrack__organisation__digest__unpack (NULL, bytes.len,
                                                 (const uint8_t *)bytes.data);
  bool ok;

  *digest = (br_admission_digest_t){ .vm = *vm };
  if (message == NULL)
    return br_error_set (err, BR_ERROR_PROTOCOL, "read digest", vm->data,
                         "the message is not a digest");
  digest->incarnation = message->incarnation;
  digest->sent_ms = message->sent_ms;
  digest->echo_incarnation = message->echo_incarnation;
  digest->echo_sent_ms = message->echo_sent_ms;
  ok = message->n_demands <= BR_DIGEST_DEMANDS_MAX && message->sent_ms >= 0
       && message->echo_sent_ms >= 0
       && message->echo_sent_ms < BR_DIGEST_TIME_MAX
       && digest_read_demands (message, digest);
  briarrack__organisation__digest__free_unpacked (message, NULL);
  if (ok)
    return true;
  br_admission_demands_free (&digest->demands);
  return br_error_set (err, BR_ERROR_PROTOCOL, "read digest", vm->data,
                       "a value of the digest is out of range");
}
