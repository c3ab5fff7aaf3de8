/*
 * Typed access to JSON objects, for documents checked field by field.
 *
 *     if (!nm_json_copy_string(object, "zone", zone, sizeof(zone))) { ... }
 *     int64_t cpu_milli;
 *     if (!nm_json_read_int(object, "cpu", NM_CPU_MAX_MILLI, &cpu_milli)) ...
 */
#ifndef NM_JSON_GET_H
#define NM_JSON_GET_H

#include <jansson.h>

#include <nutmegdeck/base.h>
#include <nutmegdeck/limits.h>

/* Copies a string; returns false if it is missing, empty or too long. */
static inline bool
nm_json_copy_string(const json_t *object, const char *name, char *target,
                    size_t size)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text && text[0] != '\0' && nm_strcopy(target, size, text);
}

/*
 * Reads a number from 0 to max, max at most NM_COUNT_MAX, and truncates its
 * fraction.  Returns false if value is no such number.
 */
static inline bool
nm_json_get_number(const json_t *value, int64_t max, int64_t *number)
{
    /* Checked as a double, since one beyond int64_t cannot be converted. */
    double real = json_number_value(value);
    if (!json_is_number(value) || !(real >= 0 && real <= (double)max)) {
        return false;
    }
    *number =
        json_is_integer(value) ? json_integer_value(value) : (int64_t)real;
    return true;
}

/* Reads a whole number from 0 to max; see nm_json_get_number. */
static inline bool
nm_json_get_int(const json_t *value, int64_t max, int64_t *number)
{
    return nm_json_get_number(value, max, number) &&
           json_number_value(value) == (double)*number;
}

/* Reads a member as nm_json_get_number does; a missing one is 0. */
static inline bool
nm_json_read_number(const json_t *object, const char *name, int64_t max,
                    int64_t *number)
{
    const json_t *value = json_object_get(object, name);
    *number = 0;
    return !value || nm_json_get_number(value, max, number);
}

/* Reads a member as nm_json_get_int does; a missing one is 0. */
static inline bool
nm_json_read_int(const json_t *object, const char *name, int64_t max,
                 int64_t *number)
{
    const json_t *value = json_object_get(object, name);
    *number = 0;
    return !value || nm_json_get_int(value, max, number);
}

/* Returns true only if the field is the literal true. */
static inline bool
nm_json_bool(const json_t *object, const char *name)
{
    return json_is_true(json_object_get(object, name));
}

#endif
