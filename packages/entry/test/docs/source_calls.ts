import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import ts from 'typescript';
import {ROOT} from './doc_tables.js';

/** A call such as `logger.info('name', {key: 1})` in the source. */
export interface SourceCall {
  readonly method: string;
  /** Expressions in a template are written as `<text>`. */
  readonly name: string;
  /** True when the name is neither a literal nor a template. */
  readonly isComputed: boolean;
  /**
   * Keys of the second argument; undefined when it is not an object literal or
   * has a spread.
   */
  readonly keys: readonly string[] | undefined;
}

const SOURCE = 'packages/entry/src';

/** Lists the calls `receiver.method('name', {…})` in a source folder. */
export function listSourceCalls(
  receiver: string,
  methods: readonly string[],
  folder = SOURCE,
): readonly SourceCall[] {
  return readdirSync(join(ROOT, folder), {recursive: true})
    .map(String)
    .filter(file => file.endsWith('.ts'))
    .sort()
    .flatMap(file => {
      const path = join(ROOT, folder, file);
      const source = ts.createSourceFile(
        path,
        readFileSync(path, 'utf8'),
        ts.ScriptTarget.Latest,
        true,
      );
      return collectCalls(source, receiver, methods);
    });
}

function collectCalls(
  source: ts.SourceFile,
  receiver: string,
  methods: readonly string[],
): readonly SourceCall[] {
  const calls: SourceCall[] = [];
  const visit = (node: ts.Node): void => {
    if (ts.isCallExpression(node)) {
      const callee = node.expression;
      if (
        ts.isPropertyAccessExpression(callee) &&
        methods.includes(callee.name.text) &&
        callee.expression.getText(source).split('.').at(-1) === receiver
      ) {
        calls.push({
          method: callee.name.text,
          name: readName(node.arguments[0], source),
          isComputed: !isText(node.arguments[0]),
          keys: readKeys(node.arguments[1]),
        });
      }
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
  return calls;
}

function isText(node: ts.Expression): boolean {
  return ts.isStringLiteralLike(node) || ts.isTemplateExpression(node);
}

function readName(node: ts.Expression, source: ts.SourceFile): string {
  if (ts.isStringLiteralLike(node)) return node.text;
  if (ts.isTemplateExpression(node)) {
    const spans = node.templateSpans.map(
      span => `<${span.expression.getText(source)}>${span.literal.text}`,
    );
    return node.head.text + spans.join('');
  }
  return node.getText(source);
}

function readKeys(node: ts.Expression | undefined): SourceCall['keys'] {
  if (node === undefined) return [];
  if (!ts.isObjectLiteralExpression(node)) return undefined;
  const keys: string[] = [];
  for (const property of node.properties) {
    if (property.name === undefined) return undefined;
    keys.push(property.name.getText());
  }
  return keys;
}

/** Reads the string literals in the union type of a property. */
export function readUnion(path: string, property: string): readonly string[] {
  const text = readFileSync(join(ROOT, path), 'utf8');
  const source = ts.createSourceFile(path, text, ts.ScriptTarget.Latest, true);
  const names: string[] = [];
  const visit = (node: ts.Node): void => {
    if (
      ts.isPropertySignature(node) &&
      node.name.getText(source) === property &&
      node.type !== undefined &&
      ts.isUnionTypeNode(node.type)
    ) {
      for (const member of node.type.types) {
        if (ts.isLiteralTypeNode(member) && ts.isStringLiteral(member.literal))
          names.push(member.literal.text);
      }
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
  return names;
}
