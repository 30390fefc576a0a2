#include "upstream/vm_list.h"

#include <json-c/json.h>
#include <string.h>

#define JSON_DEPTH_MAX 8

static json_object *
json_parse (br_str_t text)
{
  json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  json_object *value;

  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  value = json_tokener_parse_ex (tokener, text.data, (int)text.len);
  json_tokener_free (tokener);
  return value;
}

static json_object *
json_member (json_object *object, const char *key, json_type type)
{
  json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, type))
    return NULL;
  return value;
}

static br_str_t
json_string (json_object *object, const char *key)
{
  json_object *value = json_member (object, key, json_type_string);

  if (value == NULL)
    return (br_str_t){ 0 };
  return br_str_make (json_object_get_string (value),
                      (size_t)json_object_get_string_len (value));
}

static int64_t
json_number (json_object *object, const char *key)
{
  json_object *value = json_member (object, key, json_type_int);

  return value != NULL ? BR_MAX (json_object_get_int64 (value), 0) : 0;
}

static bool
json_flag (json_object *object, const char *key)
{
  json_object *value = json_member (object, key, json_type_boolean);

  return value != NULL && json_object_get_boolean (value);
}

static bool
listed_read_labels (json_object *object, br_labels_t *labels)
{
  json_object *from = json_member (object, "labels", json_type_object);

  if (from == NULL)
    return true;
  json_object_object_foreach (from, key, value)
  {
    if (!json_object_is_type (value, json_type_string)
        || !br_labels_set (labels, br_str_from (key),
                           br_str_from (json_object_get_string (value))))
      return false;
  }
  return true;
}

static bool
listed_read_address (json_object *object, br_upstream_t *upstream)
{
  br_str_t address = json_string (object, "address");
  int64_t port = json_number (object, "port");

  if (address.len == 0 || address.len >= sizeof upstream->address || port < 1
      || port > UINT16_MAX)
    return false;
  memcpy (upstream->address, address.data, address.len);
  upstream->address[address.len] = '\0';
  upstream->port = (uint16_t)port;
  return true;
}

static bool
listed_read (json_object *object, br_listed_vm_t *vm)
{
  br_upstream_t *upstream = &vm->upstream;

  *vm = (br_listed_vm_t){ 0 };
  if (!json_object_is_type (object, json_type_object))
    return false;
  vm->is_entry
      = br_str_equal (json_string (object, "role"), br_str_from ("entry"));
  vm->leaving
      = br_str_equal (json_string (object, "state"), br_str_from ("leaving"));
  upstream->incarnation = (uint64_t)json_number (object, "incarnation");
  upstream->price
      = (uint32_t)BR_MIN (json_number (object, "price"), (int64_t)UINT32_MAX);
  upstream->reclaimable = json_flag (object, "reclaimable");
  upstream->listed = true;
  return json_string (object, "name").len > 0
         && br_name_set (&upstream->name, json_string (object, "name"))
         && br_name_set (&upstream->failure_domain,
                         json_string (object, "failure_domain"))
         && br_name_set (&upstream->machine_class,
                         json_string (object, "class"))
         && (vm->is_entry || listed_read_address (object, upstream))
         && listed_read_labels (object, &upstream->labels);
}

static bool
list_read_vms (json_object *root, br_vm_list_t *list)
{
  json_object *vms = json_member (root, "vms", json_type_array);

  list->revision = (uint64_t)json_number (root, "revision");
  list->unchanged = json_flag (root, "unchanged");
  if (list->unchanged)
    return true;
  if (vms == NULL || json_object_array_length (vms) > BR_VM_LIST_MAX)
    return false;
  for (size_t i = 0; i < json_object_array_length (vms); i++)
    {
      br_listed_vm_t vm;
      bool ok = listed_read (json_object_array_get_idx (vms, i), &vm);

      br_listed_vms_push (&list->vms, vm);
      if (!ok)
        return false;
    }
  return true;
}

bool
br_vm_list_read (br_str_t json, br_vm_list_t *list, br_error_t *err)
{
  json_object *root = json_parse (json);
  bool ok;

  *list = (br_vm_list_t){ 0 };
  ok = json_object_is_type (root, json_type_object)
       && list_read_vms (root, list);
  json_object_put (root);
  if (ok)
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

static bool
reclaims_read_all (json_object *notices, br_reclaims_t *reclaims)
{
  if (notices == NULL || json_object_array_length (notices) > BR_VM_LIST_MAX)
    return false;
  for (size_t i = 0; i < json_object_array_length (notices); i++)
    {
      json_object *each = json_object_array_get_idx (notices, i);
      br_reclaim_t reclaim = { 0 };

      if (!json_object_is_type (each, json_type_object)
          || json_string (each, "vm").len == 0
          || !br_name_set (&reclaim.vm, json_string (each, "vm")))
        return false;
      reclaim.number = (uint64_t)json_number (each, "number");
      reclaim.incarnation = (uint64_t)json_number (each, "incarnation");
      reclaim.leave_in_ms = json_number (each, "leave_in_ms");
      br_reclaims_push (reclaims, reclaim);
    }
  return true;
}

bool
br_reclaims_read (br_str_t json, br_reclaims_t *reclaims, br_error_t *err)
{
  json_object *root = json_parse (json);
  bool ok;

  *reclaims = (br_reclaims_t){ 0 };
  ok = json_object_is_type (root, json_type_object)
       && reclaims_read_all (json_member (root, "notices", json_type_array),
                             reclaims);
  json_object_put (root);
  if (ok)
    return true;
  return br_error_set (err, BR_ERROR_PROTOCOL, "read reclaim notices",
                       "platform", "answer of %zu bytes is not a notice list",
                       json.len);
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
