#include <nutmegdeck/settings.h>

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define PATH_MAX_BYTES 200

static const char *const kind_names[NM_KIND_COUNT] = {
#define X(name, label) label,
    NM_KIND_LIST(X)
#undef X
};

static const nm_key_info_t key_infos[NM_KEY_COUNT] = {
#define X(id, name, type, unit, min, max, default_value, description)         \
    {name, NM_TYPE_##type, unit, min, max, default_value, description},
    NM_KEY_LIST(X)
#undef X
};

const char *
nm_kind_name(nm_kind_t kind)
{
    assert(kind < NM_KIND_COUNT);
    return kind_names[kind];
}

const nm_key_info_t *
nm_key_info(nm_key_t key)
{
    assert(key < NM_KEY_COUNT);
    return &key_infos[key];
}

static bool
find_key(const char *name, nm_key_t *key)
{
    for (int i = 0; i < NM_KEY_COUNT; i++) {
        if (strcmp(key_infos[i].name, name) == 0) {
            *key = (nm_key_t)i;
            return true;
        }
    }
    return false;
}

static bool
find_kind(const char *name, nm_kind_t *kind)
{
    for (int i = 0; i < NM_KIND_COUNT; i++) {
        if (strcmp(kind_names[i], name) == 0) {
            *kind = (nm_kind_t)i;
            return true;
        }
    }
    return false;
}

void
nm_settings_init(nm_settings_t *settings)
{
    assert(settings);
    *settings = (nm_settings_t){.sections = json_object()};
}

void
nm_settings_finish(nm_settings_t *settings)
{
    assert(settings);
    json_decref(settings->sections);
    *settings = (nm_settings_t){0};
}

void
nm_settings_copy(nm_settings_t *target, const nm_settings_t *source)
{
    assert(target && source);
    target->sections = json_deep_copy(source->sections);
    target->revision = source->revision;
}

int
nm_settings_parse(nm_settings_t *settings, const char *text, size_t bytes,
                  nm_settings_error_fn on_error, void *user)
{
    assert(settings && text);
    GKeyFile *file = g_key_file_new();
    GError *error = NULL;
    if (!g_key_file_load_from_data(file, text, bytes, G_KEY_FILE_NONE, &error))
    {
        on_error(user, "", "", error->message);
        g_error_free(error);
        g_key_file_free(file);
        return NM_ERR_CORRUPT;
    }
    int rc = NM_OK;
    gsize group_count = 0;
    char **groups = g_key_file_get_groups(file, &group_count);
    for (gsize i = 0; i < group_count; i++) {
        if (json_object_get(settings->sections, groups[i])) {
            on_error(user, groups[i], "",
                     "section is declared in more than one file");
            rc = NM_ERR_CORRUPT;
            continue;
        }
        json_t *section = json_object();
        char **keys = g_key_file_get_keys(file, groups[i], NULL, NULL);
        for (char **key = keys; key && *key; key++) {
            char *value = g_key_file_get_string(file, groups[i], *key, NULL);
            json_t *text_value = value ? json_string(value) : NULL;
            if (!text_value) {
                on_error(user, groups[i], *key, "value is not valid UTF-8");
                rc = NM_ERR_CORRUPT;
            }
            else {
                json_object_set_new(section, *key, text_value);
            }
            g_free(value);
        }
        g_strfreev(keys);
        if (json_object_set_new(settings->sections, groups[i], section) != 0) {
            on_error(user, "", "", "a section name is not valid UTF-8");
            rc = NM_ERR_CORRUPT;
        }
    }
    g_strfreev(groups);
    g_key_file_free(file);
    return rc;
}

static bool
path_is_valid(const char *path)
{
    size_t length = strlen(path);
    if (length == 0 || length > PATH_MAX_BYTES || path[0] == '/' ||
        path[length - 1] == '/' || strstr(path, "//"))
    {
        return false;
    }
    return strspn(path, "abcdefghijklmnopqrstuvwxyz0123456789-_./") == length;
}

static bool
parse_int(const char *text, int64_t *value)
{
    if (!*text) {
        return false;
    }
    char *end = NULL;
    *value = g_ascii_strtoll(text, &end, 10);
    return *end == '\0';
}

/* Returns false and writes a message if a value is not valid for its key. */
static bool
value_is_valid(const nm_settings_t *settings, const nm_key_info_t *info,
               const char *value, char *message, size_t message_bytes)
{
    int64_t number = 0;
    nm_kind_t kind;
    switch (info->type) {
    case NM_TYPE_INT:
        if (!parse_int(value, &number)) {
            snprintf(message, message_bytes, "'%.40s' is not a whole number",
                     value);
            return false;
        }
        if (number < info->min || number > info->max) {
            snprintf(message, message_bytes, "%lld is outside %lld to %lld %s",
                     (long long)number, (long long)info->min,
                     (long long)info->max, info->unit);
            return false;
        }
        return true;
    case NM_TYPE_BOOL:
        if (strcmp(value, "true") != 0 && strcmp(value, "false") != 0) {
            snprintf(message, message_bytes,
                     "'%.40s' is neither true nor false", value);
            return false;
        }
        return true;
    case NM_TYPE_KIND:
        if (!find_kind(value, &kind)) {
            snprintf(message, message_bytes,
                     "'%.40s' is not a kind of section", value);
            return false;
        }
        return true;
    case NM_TYPE_PATH:
        if (*value && !json_object_get(settings->sections, value)) {
            snprintf(message, message_bytes, "there is no section [%.80s]",
                     value);
            return false;
        }
        return true;
    default:
        if ((int64_t)strlen(value) > info->max) {
            snprintf(message, message_bytes, "longer than %lld bytes",
                     (long long)info->max);
            return false;
        }
        return true;
    }
}

static int
check_section(const nm_settings_t *settings, const char *path,
              const json_t *section, nm_settings_error_fn on_error, void *user)
{
    int problems = 0;
    if (!path_is_valid(path)) {
        on_error(user, path, "",
                 "not a valid section path: 1 to 200 bytes of lower-case "
                 "letters, digits and -_./ without empty parts");
        problems++;
    }
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)section, name, value)
    {
        nm_key_t key;
        char message[160];
        if (!find_key(name, &key)) {
            on_error(user, path, name, "unknown key");
            problems++;
        }
        else if (!json_is_string(value)) {
            on_error(user, path, name, "value is not a string");
            problems++;
        }
        else if (!value_is_valid(settings, &key_infos[key],
                                 json_string_value(value), message,
                                 sizeof(message)))
        {
            on_error(user, path, name, message);
            problems++;
        }
    }
    return problems;
}

static bool
datacentre_exists(const nm_settings_t *settings, const char *name)
{
    const char *path;
    json_t *section;
    json_object_foreach(settings->sections, path, section)
    {
        const char *last_slash = strrchr(path, '/');
        if (nm_settings_kind(settings, path) == NM_KIND_DATACENTRE &&
            strcmp(last_slash ? last_slash + 1 : path, name) == 0)
        {
            return true;
        }
    }
    return false;
}

/* Checks rules that involve several keys or sections. */
static int
check_semantics(const nm_settings_t *settings, const char *path,
                nm_settings_error_fn on_error, void *user)
{
    int problems = 0;
    nm_kind_t kind = nm_settings_kind(settings, path);
    if (kind == NM_KIND_SERVICE) {
        const char *prefix =
            nm_settings_text(settings, path, NM_KEY_PATH, NULL);
        if (prefix[0] != '/') {
            on_error(user, path, "path",
                     "a service needs a path that starts with /");
            problems++;
        }
        const char *other_path;
        json_t *section;
        json_object_foreach(settings->sections, other_path, section)
        {
            if (strcmp(other_path, path) < 0 &&
                nm_settings_kind(settings, other_path) == NM_KIND_SERVICE &&
                strcmp(
                    nm_settings_text(settings, other_path, NM_KEY_PATH, NULL),
                    prefix) == 0)
            {
                on_error(user, path, "path", "another service has this path");
                problems++;
            }
        }
    }
    if (kind == NM_KIND_BATCH || kind == NM_KIND_WATCHER) {
        const char *home = nm_settings_text(settings, path, NM_KEY_HOME, NULL);
        if (*home && !datacentre_exists(settings, home)) {
            on_error(user, path, "home", "no such data centre is declared");
            problems++;
        }
        int64_t tasks = nm_settings_int(settings, path, NM_KEY_TASKS);
        int64_t gang = nm_settings_int(settings, path, NM_KEY_GANG);
        if (gang > 1 && tasks % gang != 0) {
            on_error(user, path, "gang", "tasks is not a multiple of gang");
            problems++;
        }
    }
    const char *team = nm_settings_text(settings, path, NM_KEY_TEAM, NULL);
    if (*team && nm_settings_has_section(settings, team) &&
        nm_settings_kind(settings, team) != NM_KIND_TEAM)
    {
        on_error(user, path, "team", "the section it names is not a team");
        problems++;
    }
    return problems;
}

int
nm_settings_check(const nm_settings_t *settings, nm_settings_error_fn on_error,
                  void *user)
{
    assert(settings && on_error);
    int problems = 0;
    const char *path;
    json_t *section;
    json_object_foreach(settings->sections, path, section)
    {
        problems += check_section(settings, path, section, on_error, user);
    }
    if (problems > 0) {
        return problems;
    }
    json_object_foreach(settings->sections, path, section)
    {
        problems += check_semantics(settings, path, on_error, user);
    }
    return problems;
}

int
nm_settings_check_change(const nm_settings_t *from, const nm_settings_t *to,
                         nm_settings_error_fn on_error, void *user)
{
    assert(from && to && on_error);
    int problems = 0;
    const char *path;
    json_t *section;
    json_object_foreach(to->sections, path, section)
    {
        nm_kind_t kind = nm_settings_kind(to, path);
        if (!nm_settings_has_section(from, path) ||
            (kind != NM_KIND_BATCH && kind != NM_KIND_WATCHER) ||
            nm_settings_kind(from, path) != kind)
        {
            continue;
        }
        bool same_run =
            strcmp(nm_settings_text(from, path, NM_KEY_RUN, NULL),
                   nm_settings_text(to, path, NM_KEY_RUN, NULL)) == 0;
        if (same_run && strcmp(nm_settings_home(from, path),
                               nm_settings_home(to, path)) != 0)
        {
            on_error(user, path, "home",
                     "changing the home of a run could start its tasks "
                     "twice; delete the job first, or set a new run");
            problems++;
        }
    }
    return problems;
}

json_t *
nm_settings_diff(const nm_settings_t *from, const nm_settings_t *to)
{
    assert(from && to);
    json_t *set = json_object();
    json_t *unset = json_array();
    const char *path;
    json_t *section;
    json_object_foreach(to->sections, path, section)
    {
        if (!json_equal(json_object_get(from->sections, path), section)) {
            json_object_set(set, path, section);
        }
    }
    json_object_foreach(from->sections, path, section)
    {
        if (!json_object_get(to->sections, path)) {
            json_array_append_new(unset, json_string(path));
        }
    }
    return json_pack("{s:o,s:o}", "set", set, "unset", unset);
}

bool
nm_settings_delta_is_empty(const json_t *delta)
{
    return json_object_size(json_object_get(delta, "set")) == 0 &&
           json_array_size(json_object_get(delta, "unset")) == 0;
}

static void
ignore_error(void *user, const char *section, const char *key,
             const char *message)
{
    (void)user;
    (void)section;
    (void)key;
    (void)message;
}

int
nm_settings_apply(nm_settings_t *settings, const json_t *delta,
                  int64_t revision)
{
    assert(settings);
    json_t *set = json_object_get(delta, "set");
    json_t *unset = json_object_get(delta, "unset");
    if (!json_is_object(set) || !json_is_array(unset)) {
        return NM_ERR_CORRUPT;
    }
    nm_settings_t updated = {
        .sections = json_copy(settings->sections),
        .revision = revision,
    };
    size_t i;
    json_t *path;
    json_array_foreach(unset, i, path)
    {
        if (json_is_string(path)) {
            json_object_del(updated.sections, json_string_value(path));
        }
    }
    json_object_update(updated.sections, set);
    const char *name;
    json_t *section;
    bool valid = true;
    json_object_foreach(set, name, section)
    {
        valid = valid && json_is_object(section);
    }
    if (!valid || nm_settings_check(&updated, ignore_error, NULL) > 0) {
        nm_settings_finish(&updated);
        return NM_ERR_CORRUPT;
    }
    json_decref(settings->sections);
    *settings = updated;
    return NM_OK;
}

static bool
is_inherited(nm_key_t key)
{
    return key != NM_KEY_KIND && key != NM_KEY_PATH;
}

const char *
nm_settings_text(const nm_settings_t *settings, const char *path, nm_key_t key,
                 char *origin)
{
    assert(settings && path && key < NM_KEY_COUNT);
    const char *name = key_infos[key].name;
    char section_path[PATH_MAX_BYTES + 1];
    nm_strcopy(section_path, sizeof(section_path), path);
    for (;;) {
        json_t *section = json_object_get(settings->sections, section_path);
        const char *value = json_string_value(json_object_get(section, name));
        if (value) {
            if (origin) {
                nm_strcopy(origin, NM_NAME_MAX * 4, section_path);
            }
            return value;
        }
        char *slash = strrchr(section_path, '/');
        if (!slash || !is_inherited(key)) {
            break;
        }
        *slash = '\0';
    }
    if (origin) {
        origin[0] = '\0';
    }
    return key_infos[key].default_value;
}

int64_t
nm_settings_int(const nm_settings_t *settings, const char *path, nm_key_t key)
{
    assert(key_infos[key].type == NM_TYPE_INT);
    return strtoll(nm_settings_text(settings, path, key, NULL), NULL, 10);
}

bool
nm_settings_bool(const nm_settings_t *settings, const char *path, nm_key_t key)
{
    assert(key_infos[key].type == NM_TYPE_BOOL);
    return strcmp(nm_settings_text(settings, path, key, NULL), "true") == 0;
}

nm_kind_t
nm_settings_kind(const nm_settings_t *settings, const char *path)
{
    nm_kind_t kind = NM_KIND_FOLDER;
    find_kind(nm_settings_text(settings, path, NM_KEY_KIND, NULL), &kind);
    return kind;
}

bool
nm_settings_has_section(const nm_settings_t *settings, const char *path)
{
    assert(settings && path);
    return json_object_get(settings->sections, path) != NULL;
}

const char *
nm_settings_home(const nm_settings_t *settings, const char *path)
{
    const char *declared = nm_settings_text(settings, path, NM_KEY_HOME, NULL);
    if (*declared) {
        return declared;
    }
    /*
     * Rendezvous hashing (the data centre with the highest weight), so that
     * a new data centre takes over few jobs.
     */
    const char *best_name = "";
    uint64_t best_weight = 0;
    const char *candidate;
    json_t *section;
    json_object_foreach(settings->sections, candidate, section)
    {
        if (nm_settings_kind(settings, candidate) != NM_KIND_DATACENTRE) {
            continue;
        }
        char text[PATH_MAX_BYTES * 2 + 2];
        int length = snprintf(text, sizeof(text), "%s %s", path, candidate);
        uint64_t weight = nm_hash(text, (size_t)length);
        if (!*best_name || weight > best_weight) {
            const char *last_slash = strrchr(candidate, '/');
            best_name = last_slash ? last_slash + 1 : candidate;
            best_weight = weight;
        }
    }
    return best_name;
}
