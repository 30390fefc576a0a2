#include "upstream/load_digest.h"

#include <assert.h>
#include <json-c/json.h>

#include "upstream/load.pb-c.h"

#define JSON_DEPTH_MAX 4

static uint32_t
load_number (json_object *object, const char *key)
{
  json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_int))
    return 0;
  return (uint32_t)BR_MIN (BR_MAX (json_object_get_int64 (value), 0),
                           (int64_t)INT32_MAX);
}

bool
br_load_read (br_str_t json,
              const char *upstream,
              br_ms_t requested_ms,
              br_load_t *load,
              br_error_t *err)
{
  json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  json_object *object
      = json_tokener_parse_ex (tokener, json.data, (int)json.len);
  bool ok = json_object_is_type (object, json_type_object);

  json_tokener_free (tokener);
  *load = (br_load_t){ 0 };
  if (ok)
    {
      load->known = true;
      load->taken_ms = requested_ms - (br_ms_t)load_number (object, "age_ms");
      load->running = load_number (object, "running");
      load->waiting = load_number (object, "waiting");
      load->slots = load_number (object, "slots");
      load->token_ms = load_number (object, "token_ms");
      load->prefill_per_s = load_number (object, "prefill_per_s");
    }
  json_object_put (object);
  if (ok)
    return true;
  return br_error_set (err, BR_ERROR_PROTOCOL, "read load", upstream,
                       "answer of %zu bytes is not a JSON object", json.len);
}

static void
report_to_wire (const br_load_report_t *report,
                br_ms_t now,
                Br__Upstream__LoadReport *wire)
{
  br__upstream__load_report__init (wire);
  wire->name = (char *)report->name.data;
  wire->incarnation = report->incarnation;
  wire->down = report->down;
  wire->known = report->load.known;
  if (!report->load.known)
    return;
  wire->age_ms = (uint32_t)BR_MIN (BR_MAX (now - report->load.taken_ms, 0),
                                   (br_ms_t)BR_LOAD_AGE_MAX_MS);
  wire->running = report->load.running;
  wire->waiting = report->load.waiting;
  wire->slots = report->load.slots;
  wire->token_ms = report->load.token_ms;
  wire->prefill_per_s = report->load.prefill_per_s;
}

void
br_load_digest_pack (const br_load_report_t *reports,
                     size_t n,
                     br_ms_t now,
                     br_buf_t *out)
{
  Br__Upstream__LoadDigest wire = BR__UPSTREAM__LOAD_DIGEST__INIT;
  Br__Upstream__LoadReport wire_reports[BR_LOAD_REPORTS_MAX];
  Br__Upstream__LoadReport *list[BR_LOAD_REPORTS_MAX];
  size_t len;

  assert (n <= BR_LOAD_REPORTS_MAX);
  for (size_t i = 0; i < n; i++)
    {
      report_to_wire (&reports[i], now, &wire_reports[i]);
      list[i] = &wire_reports[i];
    }
  wire.n_reports = n;
  wire.reports = list;
  len = br__upstream__load_digest__get_packed_size (&wire);
  br_buf_reserve (out, len);
  br__upstream__load_digest__pack (&wire, (uint8_t *)out->data + out->len);
  out->len += len;
  out->data[out->len] = '\0';
}

static bool
report_from_wire (const Br__Upstream__LoadReport *wire,
                  br_ms_t now,
                  br_load_report_t *report)
{
  *report = (br_load_report_t){ 0 };
  report->incarnation = wire->incarnation;
  report->down = wire->down;
  report->load.known = wire->known;
  report->load.taken_ms = now - wire->age_ms;
  report->load.running = wire->running;
  report->load.waiting = wire->waiting;
  report->load.slots = wire->slots;
  report->load.token_ms = wire->token_ms;
  report->load.prefill_per_s = wire->prefill_per_s;
  return wire->age_ms <= BR_LOAD_AGE_MAX_MS && wire->name[0] != '\0'
         && br_name_set (&report->name, br_str_from (wire->name));
}

static bool
reports_from_wire (const Br__Upstream__LoadDigest *wire,
                   br_ms_t now,
                   br_load_reports_t *reports)
{
  if (wire->n_reports > BR_LOAD_REPORTS_MAX)
    return false;
  for (size_t i = 0; i < wire->n_reports; i++)
    {
      br_load_report_t report;

      if (!report_from_wire (wire->reports[i], now, &report))
        return false;
      br_load_reports_push (reports, report);
    }
  return true;
}

bool
br_load_digest_unpack (br_str_t bytes,
                       const char *peer,
                       br_ms_t now,
                       br_load_reports_t *reports,
                       br_error_t *err)
{
  Br__Upstream__LoadDigest *wire = br__upstream__load_digest__unpack (
      NULL, bytes.len, (const uint8_t *)bytes.data);
  bool ok;

  *reports = (br_load_reports_t){ 0 };
  ok = wire != NULL && reports_from_wire (wire, now, reports);
  if (wire != NULL)
    br__upstream__load_digest__free_unpacked (wire, NULL);
  if (ok)
    return true;
  return br_error_set (err, BR_ERROR_PROTOCOL, "read load digest", peer,
                       "message of %zu bytes is not a load digest or has a "
                       "value out of range",
                       bytes.len);
}
