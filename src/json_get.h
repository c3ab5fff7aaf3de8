/*
 * Typed access to JSON objects, for documents checked field by field.
 *
 *     if (!nm_json_copy_string(object, "zone", zone, sizeof(zone))) { ... }
 *     int64_t cpu = nm_json_int(object, "cpu");
 */
#ifndef NM_JSON_GET_H
#define NM_JSON_GET_H

#include <jansson.h>

#include <nutmegdeck/base.h>

/* Copies a string; returns false if it is missing, empty or too long. */
static inline bool
nm_json_copy_string(const json_t *object, const char *name, char *target,
                    size_t size)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text && text[0] != '\0' && nm_strcopy(target, size, text);
}

/* Returns 0 if the field is missing or no number; truncates fractions. */
static inline int64_t
nm_json_int(const json_t *object, const char *name)
{
    return (int64_t)json_number_value(json_object_get(object, name));
}

/* Returns true only if the field is the literal true. */
static inline bool
nm_json_bool(const json_t *object, const char *name)
{
    return json_is_true(json_object_get(object, name));
}

#endif
