#include "upstream/vm_list.h"

#include <event2/util.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_split.h"

/* Limits on one entry. */
#define ENTRY_MAX_BYTES 65536
#define JSON_DEPTH_MAX 8
#define INTEGER_MAX 1000000000000000
#define LEAVE_MAX_MS 86400000

static bool
entry_fault (br_error_t *err, const char *field, const char *expected)
{
  return br_error_set (err, BR_ERROR_PROTOCOL, "read entry", "platform",
                       "%s: expected %s", field, expected);
}

/* Parses an entry, which must be an object. */
static json_object *
entry_parse (br_str_t text, br_error_t *err)
{
  json_tokener *tokener;
  json_object *object;
  const char *why;

  if (text.len == 0 || text.len > ENTRY_MAX_BYTES || text.data[0] != '{')
    {
      entry_fault (err, "the entry", "an object of at most 65536 bytes");
      return NULL;
    }
  tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  object = json_tokener_parse_ex (tokener, text.data, (int)text.len);
  why = json_tokener_error_desc (json_tokener_get_error (tokener));
  if (object == NULL)
    br_error_set (err, BR_ERROR_PROTOCOL, "read entry", "platform",
                  "at byte %zu of %zu: %s",
                  json_tokener_get_parse_end (tokener), text.len, why);
  json_tokener_free (tokener);
  return object;
}

/* Sets *MEMBER to the member KEY, or to NULL when it is missing. */
static bool
member_get (json_object *object,
            const char *key,
            json_type type,
            json_object **member,
            br_error_t *err)
{
  *member = NULL;
  return !json_object_object_get_ex (object, key, member)
         || json_object_is_type (*member, type)
         || entry_fault (err, key, json_type_to_name (type));
}

static bool
text_read (json_object *object,
           const char *key,
           br_str_t *text,
           br_error_t *err)
{
  json_object *member;

  *text = (br_str_t){ 0 };
  if (!member_get (object, key, json_type_string, &member, err))
    return false;
  if (member != NULL)
    *text = br_str_make (json_object_get_string (member),
                         (size_t)json_object_get_string_len (member));
  return !br_str_has_control (*text)
         || entry_fault (err, key, "no control characters");
}

static bool
name_read (json_object *object,
           const char *key,
           br_name_t *name,
           br_error_t *err)
{
  br_str_t text;

  return text_read (object, key, &text, err)
         && (br_name_set (name, text)
             || entry_fault (err, key, "at most 62 bytes"));
}

/* A missing number is 0. */
static bool
number_read (json_object *object,
             const char *key,
             int64_t max,
             int64_t *number,
             br_error_t *err)
{
  json_object *member;

  *number = 0;
  if (!member_get (object, key, json_type_int, &member, err))
    return false;
  if (member != NULL)
    *number = json_object_get_int64 (member);
  return (*number >= 0 && *number <= max)
         || br_error_set (err, BR_ERROR_PROTOCOL, "read entry", "platform",
                          "%s is %lld: expected 0 to %lld", key,
                          (long long)*number, (long long)max);
}

static bool
flag_read (json_object *object, const char *key, bool *flag, br_error_t *err)
{
  json_object *member;

  if (!member_get (object, key, json_type_boolean, &member, err))
    return false;
  *flag = member != NULL && json_object_get_boolean (member);
  return true;
}

static bool
listed_read_labels (json_object *object, br_labels_t *labels, br_error_t *err)
{
  json_object *from;

  if (!member_get (object, "labels", json_type_object, &from, err))
    return false;
  if (from == NULL)
    return true;
  json_object_object_foreach (from, key, value)
  {
    if (!json_object_is_type (value, json_type_string)
        || !br_labels_set (labels, br_str_from (key),
                           br_str_from (json_object_get_string (value))))
      return entry_fault (err, "labels", "texts");
  }
  return true;
}

static bool
is_ip (const char *address)
{
  struct in6_addr ip;

  return evutil_inet_pton (AF_INET, address, &ip) == 1
         || evutil_inet_pton (AF_INET6, address, &ip) == 1;
}

static bool
listed_read_address (json_object *object,
                     br_upstream_t *upstream,
                     br_error_t *err)
{
  br_str_t address;
  int64_t port;

  if (!text_read (object, "address", &address, err)
      || !number_read (object, "port", UINT16_MAX, &port, err))
    return false;
  if (port == 0)
    return entry_fault (err, "port", "1 to 65535");
  if (address.len == 0 || address.len >= sizeof upstream->address)
    return entry_fault (err, "address", "an IP address");
  memcpy (upstream->address, address.data, address.len);
  upstream->address[address.len] = '\0';
  upstream->port = (uint16_t)port;
  return is_ip (upstream->address)
         || entry_fault (err, "address", "an IP address");
}

static bool
listed_read (json_object *object, br_listed_vm_t *vm, br_error_t *err)
{
  br_upstream_t *upstream = &vm->upstream;
  br_str_t role;
  br_str_t state;
  int64_t incarnation;
  int64_t price;

  if (!name_read (object, "name", &upstream->name, err)
      || !text_read (object, "role", &role, err)
      || !text_read (object, "state", &state, err)
      || !name_read (object, "failure_domain", &upstream->failure_domain, err)
      || !name_read (object, "class", &upstream->machine_class, err)
      || !number_read (object, "incarnation", INTEGER_MAX, &incarnation, err)
      || !number_read (object, "price", UINT32_MAX, &price, err)
      || !flag_read (object, "reclaimable", &upstream->reclaimable, err))
    return false;
  if (upstream->name.len == 0)
    return entry_fault (err, "name", "a name");
  vm->is_entry = br_str_equal (role, br_str_from ("entry"));
  vm->leaving = br_str_equal (state, br_str_from ("leaving"));
  upstream->incarnation = (uint64_t)incarnation;
  upstream->price = (uint32_t)price;
  upstream->listed = true;
  return (vm->is_entry || listed_read_address (object, upstream, err))
         && listed_read_labels (object, &upstream->labels, err);
}

/* Finds the members of an answer.  Returns false when it is no object, or a
 * member has no key or no end or is a second array: an entry has closed the
 * array. */
static bool
answer_split (br_str_t json,
              const char *array_key,
              br_str_t *array,
              br_vm_list_t *head)
{
  br_json_split_t split;
  br_str_t key;
  br_str_t value;

  *array = (br_str_t){ 0 };
  if (!br_json_split_begin (&split, json) || !split.is_object)
    return false;
  while (br_json_split_next (&split, &key, &value))
    {
      bool is_array = br_str_equal (key, br_str_from (array_key));

      if (key.data == NULL || (is_array && array->data != NULL))
        return false;
      if (is_array)
        *array = value;
      else if (head != NULL && br_str_equal (key, br_str_from ("revision")))
        br_str_to_u64 (value, &head->revision);
      else if (head != NULL && br_str_equal (key, br_str_from ("unchanged")))
        head->unchanged = br_str_equal (value, br_str_from ("true"));
    }
  return !split.unclosed;
}

static void
odd_entry_note (br_odd_entries_t *odd,
                const char *step,
                size_t position,
                const br_name_t *name,
                const br_error_t *err)
{
  if (odd->n++ == 0)
    br_error_set (&odd->first, BR_ERROR_PROTOCOL, step, "platform",
                  "entry %zu '%s': %s", position, name->data, err->text);
}

static void
list_add (br_vm_list_t *list, br_str_t text, size_t position)
{
  br_listed_vm_t vm = { 0 };
  br_error_t err;
  json_object *object = entry_parse (text, &err);

  if (object != NULL && listed_read (object, &vm, &err))
    br_listed_vms_push (&list->vms, vm);
  else
    {
      odd_entry_note (&list->odd, "read VM list", position, &vm.upstream.name,
                      &err);
      br_labels_free (&vm.upstream.labels);
    }
  json_object_put (object);
}

static bool
list_read_vms (br_str_t vms, br_vm_list_t *list)
{
  br_json_split_t split;
  br_str_t key;
  br_str_t entry;
  size_t n = 0;

  if (!br_json_split_begin (&split, vms) || split.is_object)
    return false;
  while (br_json_split_next (&split, &key, &entry))
    {
      if (split.unclosed || n == BR_VM_LIST_MAX)
        return false;
      list_add (list, entry, n++);
    }
  return true;
}

bool
br_vm_list_read (br_str_t json, br_vm_list_t *list, br_error_t *err)
{
  br_str_t vms;

  *list = (br_vm_list_t){ 0 };
  if (answer_split (json, "vms", &vms, list)
      && (list->unchanged || list_read_vms (vms, list)))
    return true;
  return br_error_set (err, BR_ERROR_PROTOCOL, "read VM list", "platform",
                       "answer of %zu bytes is not a VM list", json.len);
}

void
br_vm_list_release (br_vm_list_t *list)
{
  for (size_t i = 0; i < list->vms.len; i++)
    br_labels_free (&list->vms.items[i].upstream.labels);
  br_listed_vms_free (&list->vms);
}

static void
reclaims_add (br_reclaims_t *reclaims,
              br_odd_entries_t *odd,
              br_str_t text,
              size_t position)
{
  br_reclaim_t reclaim = { 0 };
  int64_t number;
  int64_t incarnation;
  br_error_t err;
  json_object *object = entry_parse (text, &err);
  bool ok
      = object != NULL && name_read (object, "vm", &reclaim.vm, &err)
        && number_read (object, "number", INTEGER_MAX, &number, &err)
        && number_read (object, "incarnation", INTEGER_MAX, &incarnation, &err)
        && number_read (object, "leave_in_ms", LEAVE_MAX_MS,
                        &reclaim.leave_in_ms, &err);

  if (ok && reclaim.vm.len == 0)
    ok = entry_fault (&err, "vm", "a name");
  if (ok)
    {
      reclaim.number = (uint64_t)number;
      reclaim.incarnation = (uint64_t)incarnation;
      br_reclaims_push (reclaims, reclaim);
    }
  else
    odd_entry_note (odd, "read reclaim notices", position, &reclaim.vm, &err);
  json_object_put (object);
}

static bool
reclaims_read_all (br_str_t notices,
                   br_reclaims_t *reclaims,
                   br_odd_entries_t *odd)
{
  br_json_split_t split;
  br_str_t key;
  br_str_t entry;
  size_t n = 0;

  if (!br_json_split_begin (&split, notices) || split.is_object)
    return false;
  while (br_json_split_next (&split, &key, &entry))
    {
      if (split.unclosed || n == BR_VM_LIST_MAX)
        return false;
      reclaims_add (reclaims, odd, entry, n++);
    }
  return true;
}

bool
br_reclaims_read (br_str_t json,
                  br_reclaims_t *reclaims,
                  br_odd_entries_t *odd,
                  br_error_t *err)
{
  br_str_t notices;

  *reclaims = (br_reclaims_t){ 0 };
  *odd = (br_odd_entries_t){ 0 };
  if (answer_split (json, "notices", &notices, NULL)
      && reclaims_read_all (notices, reclaims, odd))
    return true;
  return br_error_set (err, BR_ERROR_PROTOCOL, "read reclaim notices",
                       "platform", "answer of %zu bytes is not a notice list",
                       json.len);
}

static void
offers_add (br_offers_t *offers,
            br_odd_entries_t *odd,
            br_str_t text,
            size_t position)
{
  br_offer_t offer = { 0 };
  int64_t price;
  br_error_t err;
  json_object *object = entry_parse (text, &err);
  bool ok = object != NULL
            && name_read (object, "class", &offer.machine_class, &err)
            && name_read (object, "failure_domain", &offer.failure_domain, &err)
            && flag_read (object, "reclaimable", &offer.reclaimable, &err)
            && number_read (object, "price", UINT32_MAX, &price, &err);

  if (ok && (offer.machine_class.len == 0 || offer.failure_domain.len == 0))
    ok = entry_fault (&err,
                      offer.machine_class.len == 0 ? "class" : "failure_domain",
                      "a name");
  if (ok)
    {
      offer.price = (uint32_t)price;
      br_offers_push (offers, offer);
    }
  else
    odd_entry_note (odd, "read offers", position, &offer.machine_class, &err);
  json_object_put (object);
}

static int
offer_compare (const void *a, const void *b)
{
  uint32_t price_a = ((const br_offer_t *)a)->price;
  uint32_t price_b = ((const br_offer_t *)b)->price;

  return (price_a > price_b) - (price_a < price_b);
}

static bool
offers_read_all (br_str_t text, br_offers_t *offers, br_odd_entries_t *odd)
{
  br_json_split_t split;
  br_str_t key;
  br_str_t entry;
  size_t n = 0;

  if (!br_json_split_begin (&split, text) || split.is_object)
    return false;
  while (br_json_split_next (&split, &key, &entry))
    {
      if (split.unclosed || n == BR_VM_LIST_MAX)
        return false;
      offers_add (offers, odd, entry, n++);
    }
  if (offers->len > 1)
    qsort (offers->items, offers->len, sizeof (br_offer_t), offer_compare);
  return true;
}

bool
br_offers_read (br_str_t json,
                br_offers_t *offers,
                br_odd_entries_t *odd,
                br_error_t *err)
{
  br_str_t text;

  *offers = (br_offers_t){ 0 };
  *odd = (br_odd_entries_t){ 0 };
  if (answer_split (json, "offers", &text, NULL)
      && offers_read_all (text, offers, odd))
    return true;
  return br_error_set (err, BR_ERROR_PROTOCOL, "read offers", "platform",
                       "answer of %zu bytes is not a list of offers", json.len);
}

static bool
list_has (const br_vm_list_t *list, const br_name_t *name)
{
  for (size_t i = 0; i < list->vms.len; i++)
    if (br_name_equal (&list->vms.items[i].upstream.name, name))
      return true;
  return false;
}

static void
list_put (br_listed_vm_t *vm,
          br_registry_t *registry,
          br_ms_t now,
          br_names_t *changed)
{
  br_name_t name = vm->upstream.name;
  br_upstream_t *existing = br_registry_find (registry, br_name_str (&name));
  bool is_new
      = existing == NULL || existing->incarnation < vm->upstream.incarnation;
  bool was_removed = existing != NULL && existing->removed;

  if (existing != NULL && existing->incarnation > vm->upstream.incarnation)
    return;
  vm->upstream.state_ms = now;
  existing = br_registry_put (registry, vm->upstream);
  vm->upstream.labels = (br_labels_t){ 0 };
  br_upstream_set_removed (existing, false, now);
  if (is_new || was_removed)
    br_names_push (changed, name);
}

void
br_vm_list_apply (br_vm_list_t *list,
                  br_registry_t *registry,
                  br_ms_t now,
                  br_names_t *changed)
{
  for (size_t i = 0; i < list->vms.len; i++)
    if (!list->vms.items[i].is_entry)
      list_put (&list->vms.items[i], registry, now, changed);
  for (size_t i = 0; i < registry->upstreams.len; i++)
    {
      br_upstream_t *each = &registry->upstreams.items[i];

      if (!each->listed || each->removed || list_has (list, &each->name))
        continue;
      br_upstream_set_removed (each, true, now);
      br_names_push (changed, each->name);
    }
  br_registry_sweep (registry);
}
