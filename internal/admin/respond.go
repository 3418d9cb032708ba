package admin

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/emicklei/go-restful/v3"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/verdict"
)

// pathSeparator separates the names of an organisation's path within one URL segment. Names can't contain it.
const pathSeparator = "."

// acceptEscapedSlashes also accepts an organisation's path with escaped slashes: camurca%2Fporto is camurca.porto.
func acceptEscapedSlashes(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if escaped := r.URL.EscapedPath(); strings.Contains(strings.ToUpper(escaped), "%2F") {
			r.URL.Path = strings.NewReplacer("%2F", pathSeparator, "%2f", pathSeparator).Replace(escaped)
			r.URL.RawPath = ""
		}
		next.ServeHTTP(w, r)
	})
}

// organisationOf returns the organisation in the request's path.
func organisationOf(req *restful.Request) string {
	return strings.ReplaceAll(req.PathParameter("organisation"), pathSeparator, "/")
}

// writeResult writes a successful response with the version as its entity tag.
func writeResult(resp *restful.Response, status int, version settings.Version, body any) {
	resp.Header().Set(adminapi.HeaderVersion, `"`+version.String()+`"`)
	_ = resp.WriteHeaderAndJson(status, body, restful.MIME_JSON)
}

// reject writes an error response with the verdict not_run: nothing was changed.
func reject(resp *restful.Response, status int, code, format string, args ...any) {
	writeError(resp, status, adminapi.Error{Code: code, Message: fmt.Sprintf(format, args...), Verdict: verdict.NotRun.String()})
}

func writeError(resp *restful.Response, status int, e adminapi.Error) {
	_ = resp.WriteHeaderAndJson(status, e, restful.MIME_JSON)
}

// serviceError writes the response to requests that match no route or are not acceptable to it.
func serviceError(e restful.ServiceError, _ *restful.Request, resp *restful.Response) {
	for name, values := range e.Header {
		resp.Header()[name] = values
	}
	reject(resp, e.Code, adminapi.CodeBadRequest, "%s", e.Message)
}

// writeRefused writes the response to a refused command.
func writeRefused(resp *restful.Response, o settings.Outcome) {
	status := http.StatusConflict
	switch o.Code {
	case settings.CodeInvalid:
		status = http.StatusUnprocessableEntity
	case settings.CodeNotFound:
		status = http.StatusNotFound
	}
	resp.Header().Set(adminapi.HeaderVersion, `"`+o.Version.String()+`"`)
	writeError(resp, status, adminapi.Error{
		Code: string(o.Code), Message: o.Message, Verdict: verdict.NotRun.String(), Version: o.Version.String(), Problems: o.Problems,
	})
}
