package admin

import (
	"encoding/json"
	"path"
	"reflect"
	"slices"
	"sort"
	"strconv"

	"github.com/emicklei/go-restful/v3"
	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3gen"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/settings"
)

const (
	apiVersion    = "1"
	tokenSecurity = "operatorToken"
)

// openAPIBuilder builds an OpenAPI document from the routes of a service.
type openAPIBuilder struct {
	doc *openapi3.T
}

// openAPIDocument returns the OpenAPI document of a service in JSON form.
func openAPIDocument(ws *restful.WebService) ([]byte, error) {
	d := &openAPIBuilder{
		doc: &openapi3.T{
			OpenAPI: "3.0.3", Paths: openapi3.NewPaths(),
			Info: &openapi3.Info{Title: "guavastack operators' API", Version: apiVersion},
			Components: &openapi3.Components{
				Schemas:         openapi3.Schemas{},
				SecuritySchemes: openapi3.SecuritySchemes{tokenSecurity: &openapi3.SecuritySchemeRef{Value: openapi3.NewSecurityScheme().WithType("http").WithScheme("bearer")}},
			},
			Security: openapi3.SecurityRequirements{{tokenSecurity: {}}},
		},
	}
	for _, route := range ws.Routes() {
		op, err := d.operation(route)
		if err != nil {
			return nil, errors.Annotatef(err, "%s %s", route.Method, route.Path)
		}
		d.doc.AddOperation(route.Path, route.Method, op)
	}
	return json.MarshalIndent(d.doc, "", "  ")
}

// schemaName returns the name of a type with its package, since different packages have types of the same name.
func schemaName(t reflect.Type) string {
	return path.Base(t.PkgPath()) + "." + t.Name()
}

// customizeDurationSchema describes durations as strings, as they are encoded.
func customizeDurationSchema(_ string, t reflect.Type, _ reflect.StructTag, schema *openapi3.Schema) error {
	if t == reflect.TypeFor[settings.Duration]() {
		*schema = *openapi3.NewStringSchema()
		schema.Example = "700ms"
	}
	return nil
}

func (d *openAPIBuilder) operation(route restful.Route) (*openapi3.Operation, error) {
	op := &openapi3.Operation{OperationID: route.Operation, Summary: route.Doc, Responses: openapi3.NewResponsesWithCapacity(len(route.ResponseErrors))}
	for _, p := range route.ParameterDocs {
		if described := parameter(p.Data()); described != nil {
			op.AddParameter(described)
		}
	}
	if route.ReadSample != nil {
		schema, err := d.schema(route.ReadSample)
		if err != nil {
			return nil, err
		}
		op.RequestBody = &openapi3.RequestBodyRef{Value: openapi3.NewRequestBody().WithJSONSchemaRef(schema)}
	}
	for _, code := range statusCodes(route) {
		response, err := d.response(route.ResponseErrors[code])
		if err != nil {
			return nil, err
		}
		op.AddResponse(code, response)
	}
	return op, nil
}

func statusCodes(route restful.Route) []int {
	codes := make([]int, 0, len(route.ResponseErrors))
	for code := range route.ResponseErrors {
		codes = append(codes, code)
	}
	sort.Ints(codes)
	return codes
}

func (d *openAPIBuilder) response(r restful.ResponseError) (*openapi3.Response, error) {
	response := openapi3.NewResponse().WithDescription(r.Message)
	if r.Model == nil {
		return response, nil
	}
	schema, err := d.schema(r.Model)
	if err != nil {
		return nil, errors.Annotate(err, strconv.Itoa(r.Code))
	}
	return response.WithJSONSchemaRef(schema), nil
}

func (d *openAPIBuilder) schema(sample any) (*openapi3.SchemaRef, error) {
	return openapi3gen.NewSchemaRefForValue(sample, d.doc.Components.Schemas,
		openapi3gen.SchemaCustomizer(customizeDurationSchema), openapi3gen.CreateTypeNameGenerator(schemaName),
		openapi3gen.CreateComponentSchemas(openapi3gen.ExportComponentSchemasOptions{ExportComponentSchemas: true, ExportTopLevelSchema: true}))
}

func parameter(p restful.ParameterData) *openapi3.Parameter {
	var described *openapi3.Parameter
	switch p.Kind {
	case restful.PathParameterKind:
		described = openapi3.NewPathParameter(p.Name)
	case restful.QueryParameterKind:
		described = openapi3.NewQueryParameter(p.Name).WithRequired(p.Required)
	case restful.HeaderParameterKind:
		described = openapi3.NewHeaderParameter(p.Name)
	default:
		return nil
	}
	schema := openapi3.NewStringSchema()
	if slices.Contains([]string{"integer", "int"}, p.DataType) {
		schema = openapi3.NewIntegerSchema()
	}
	return described.WithDescription(p.Description).WithSchema(schema)
}
